#include "RouterFixture.h"

#include <catch2/catch.hpp>

namespace skylarkchute {

namespace {

using Fixture = RouterFixture;

const VersionId kOldVersion{ "cheap/1" };
const VersionId kNewVersion{ "cheap/2" };

RequestFacts CheapFacts(Fixture& aFixture)
{
  auto facts = aFixture.MakeFacts();
  facts.mModel = ModelName("cheap");
  return facts;
}

/** Starts and completes requests; returns how many were sent to the new version. */
std::size_t CountSentToNew(Fixture& aFixture, std::size_t aRequests, AttemptEnd aEndOnNew)
{
  std::size_t count = 0;
  for (std::size_t n = 0; n < aRequests; ++n) {
    const auto steps = aFixture.mRouter.Start(CheapFacts(aFixture), aFixture.mClock.Now());
    for (const auto& it : Fixture::StepsOf<DispatchStep>(steps)) {
      const bool isNew = *it.mVersion == kNewVersion;
      count += isNew ? 1 : 0;
      aFixture.End(it, isNew ? aEndOnNew : AttemptEnd::Complete);
    }
    for (const auto& it :
         Fixture::StepsOf<DispatchStep>(aFixture.Run(std::chrono::milliseconds(20)))) {
      aFixture.End(it, AttemptEnd::Complete);
    }
  }
  return count;
}

Fixture RollingFixture(double aPercent)
{
  Fixture it;
  it.AddEngine("e1", { "cheap-1", "cheap-2" }, 64);
  it.AddEngine("e2", { "cheap-1", "cheap-2" }, 64);
  it.mRouter.ApplyRolls({ { RollName("roll"), aPercent, false } }, it.mClock.Now());
  return it;
}

} // namespace

TEST_CASE("A rolling version gets its share, and nothing before it has one")
{
  auto none = RollingFixture(0);
  REQUIRE(CountSentToNew(none, 200, AttemptEnd::Complete) == 0);
  auto some = RollingFixture(20);
  const auto count = CountSentToNew(some, 2000, AttemptEnd::Complete);
  REQUIRE(count > 320);
  REQUIRE(count < 480);
  auto all = RollingFixture(100);
  REQUIRE(CountSentToNew(all, 200, AttemptEnd::Complete) == 200);
}

TEST_CASE("A rolling version that answers with errors is stopped for good and peers are told")
{
  auto it = RollingFixture(20);
  CountSentToNew(it, 500, AttemptEnd::Complete);
  CountSentToNew(it, 3000, AttemptEnd::Failed);
  REQUIRE(it.mRouter.Counters().mVersionsStopped == 1);
  const auto reports = it.mRouter.TakeReports(it.mClock.Now());
  REQUIRE(reports.mAlerts.size() == 1);
  REQUIRE(*reports.mAlerts.front().mVersion == kNewVersion);
  REQUIRE(CountSentToNew(it, 500, AttemptEnd::Complete) == 0);
}

TEST_CASE("An alert or a withdrawn roll stops a version at once, also for retries and sessions")
{
  for (const bool byAlert : { true, false }) {
    auto it = RollingFixture(100);
    auto session = CheapFacts(it);
    session.mPinnedVersion = kNewVersion;
    const auto first = Fixture::StepsOf<DispatchStep>(it.mRouter.Start(session, it.mClock.Now()));
    const auto second =
      Fixture::StepsOf<DispatchStep>(it.mRouter.Start(CheapFacts(it), it.mClock.Now()));
    REQUIRE(first.size() == 1);
    REQUIRE(second.size() == 1);
    REQUIRE(it.mRouter.MayDispatch(first[0].mRequest, first[0].mAttempt));
    if (byAlert) {
      it.mRouter.ApplyAlert({ kNewVersion, std::nullopt, 0, "errors" }, it.mClock.Now());
    } else {
      it.mRouter.ApplyRolls({ { RollName("roll"), 100, true } }, it.mClock.Now());
    }
    REQUIRE_FALSE(it.mRouter.MayDispatch(first[0].mRequest, first[0].mAttempt));
    it.End(first[0], AttemptEnd::ConnectFailed);
    it.End(second[0], AttemptEnd::Failed);
    const auto steps = it.Run(std::chrono::milliseconds(200));
    const auto refusals = Fixture::StepsOf<RefuseStep>(steps);
    REQUIRE(refusals.size() == 1);
    REQUIRE(refusals[0].mRequest == session.mId);
    REQUIRE(refusals[0].mReason == "version-withdrawn");
    REQUIRE(refusals[0].mVerdict == Verdict::NotRun);
    const auto retried = Fixture::StepsOf<DispatchStep>(steps);
    REQUIRE(retried.size() == 1);
    REQUIRE(*retried[0].mVersion == kOldVersion);
    REQUIRE(CountSentToNew(it, 100, AttemptEnd::Complete) == 0);
  }
}

TEST_CASE("A first request of a session is not moved to another version by a retry")
{
  auto it = RollingFixture(100);
  auto facts = CheapFacts(it);
  facts.mStartsSession = true;
  const auto first = Fixture::StepsOf<DispatchStep>(it.mRouter.Start(facts, it.mClock.Now()));
  REQUIRE(*first.at(0).mVersion == kNewVersion);
  it.mRouter.ApplyRolls({ { RollName("roll"), 0, false } }, it.mClock.Now());
  it.End(first[0], AttemptEnd::ConnectFailed);
  const auto second = Fixture::StepsOf<DispatchStep>(it.Run(std::chrono::milliseconds(200)));
  REQUIRE(*second.at(0).mVersion == kNewVersion);
}

TEST_CASE("A request repinned to the version of its session runs there or ends as not run")
{
  auto it = RollingFixture(100);
  const auto facts = CheapFacts(it);
  const auto first = Fixture::StepsOf<DispatchStep>(it.mRouter.Start(facts, it.mClock.Now()));
  REQUIRE(*first.at(0).mVersion == kNewVersion);
  const auto second =
    Fixture::StepsOf<DispatchStep>(it.mRouter.Repin(facts.mId, kOldVersion, it.mClock.Now()));
  REQUIRE(*second.at(0).mVersion == kOldVersion);
  REQUIRE(second[0].mAttempt != first[0].mAttempt);
  const auto third =
    Fixture::StepsOf<RefuseStep>(it.mRouter.Repin(facts.mId, VersionId("gone/1"), it.mClock.Now()));
  REQUIRE(third.at(0).mReason == "version-withdrawn");
}

TEST_CASE("An answer held for its rating is replaced by a dearer one when it is rated bad")
{
  Fixture it;
  it.mBundle.mCascades = { { CascadeName("c"), { ModelName("cheap"), ModelName("dear") } } };
  it.mBundle.mClasses[0].mCascade = CascadeName("c");
  it.mBundle.mClasses[0].mQualityTarget = 0.9;
  it.mBundle.mClasses[0].mTargetLatency = std::chrono::seconds(5);
  it.ApplyBundle();
  it.AddEngine("e1", { "cheap-1" }, 64);
  it.AddEngine("e2", { "dear-1" }, 64);
  for (const double rating : { 0.0, 1.0 }) {
    const auto facts = it.MakeFacts();
    const auto first = Fixture::StepsOf<DispatchStep>(it.mRouter.Start(facts, it.mClock.Now()));
    REQUIRE(first.at(0).mEndpoint == EndpointId("e1"));
    REQUIRE(Fixture::StepsOf<FinishStep>(it.End(first[0], AttemptEnd::Complete)).empty());
    const auto wishes = it.mRouter.TakeReports(it.mClock.Now()).mRatingCandidates;
    REQUIRE(wishes.size() == 1);
    REQUIRE(wishes[0].mHeld);
    const auto steps =
      it.mRouter.ReportHeldRating(facts.mId, wishes[0].mAttempt, rating, it.mClock.Now());
    if (rating > 0) {
      REQUIRE(Fixture::StepsOf<FinishStep>(steps).size() == 1);
      continue;
    }
    const auto second = Fixture::StepsOf<DispatchStep>(steps);
    REQUIRE(second.at(0).mEscalation);
    REQUIRE(second[0].mEndpoint == EndpointId("e2"));
    const auto finish = Fixture::StepsOf<FinishStep>(it.End(second[0], AttemptEnd::Complete));
    REQUIRE(finish.at(0).mAttempt == second[0].mAttempt);
    // The response of the more expensive model may be sampled for a rating, but is never held.
    for (const auto& wish : it.mRouter.TakeReports(it.mClock.Now()).mRatingCandidates) {
      REQUIRE(wish.mAttempt == second[0].mAttempt);
      REQUIRE_FALSE(wish.mHeld);
    }
  }
}

TEST_CASE(
  "A held answer is served when the dearer model fails, and does not wait for a late rating")
{
  Fixture it;
  it.mBundle.mCascades = { { CascadeName("c"), { ModelName("cheap"), ModelName("dear") } } };
  it.mBundle.mClasses[0].mCascade = CascadeName("c");
  it.mBundle.mClasses[0].mQualityTarget = 0.9;
  it.mBundle.mClasses[0].mTargetLatency = std::chrono::seconds(5);
  it.ApplyBundle();
  it.AddEngine("e1", { "cheap-1" }, 64);
  it.AddEngine("e2", { "dear-1" }, 64);
  const auto facts = it.MakeFacts();
  const auto first = Fixture::StepsOf<DispatchStep>(it.mRouter.Start(facts, it.mClock.Now()));
  it.End(first.at(0), AttemptEnd::Complete);
  const auto steps = it.mRouter.ReportHeldRating(facts.mId, first[0].mAttempt, 0, it.mClock.Now());
  const auto second = Fixture::StepsOf<DispatchStep>(steps);
  const auto finish = Fixture::StepsOf<FinishStep>(it.End(second.at(0), AttemptEnd::Rejected));
  REQUIRE(finish.at(0).mAttempt == first[0].mAttempt);

  const auto late = it.MakeFacts();
  const auto third = Fixture::StepsOf<DispatchStep>(it.mRouter.Start(late, it.mClock.Now()));
  it.End(third.at(0), AttemptEnd::Complete);
  const auto waited = it.Run(RouterOptions().mRatingWait);
  REQUIRE(Fixture::StepsOf<FinishStep>(waited).size() +
            Fixture::StepsOf<DispatchStep>(waited).size() ==
          1);
  REQUIRE(it.mRouter.ReportHeldRating(late.mId, third[0].mAttempt, 1, it.mClock.Now()).empty());
}

} // namespace skylarkchute
