#include "RouterFixture.h"

#include <catch2/catch.hpp>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <map>
#include <set>

namespace skylarkchute {

namespace {

using Fixture = RouterFixture;

constexpr std::uint64_t kSeeds = 300;

/** State of one request as observed by the test. */
struct TrackedRequest
{
  RequestFacts mFacts;
  bool mNonIdempotent = false;
  bool mEnded = false;
  Verdict mWorst = Verdict::NotRun;
  std::set<VersionId> mVersions;
  std::map<AttemptId, DispatchStep> mLive;
};

/** Applies random events to a router and checks every step against its guarantees:
    non-idempotent requests are resent only after `not-run`, versions are allowed and pins are kept,
    leaving endpoints get no work, refusals carry the worst verdict, and each request ends exactly
    once. */
class RandomizedRouterTest
{
public:
  explicit RandomizedRouterTest(std::uint64_t aSeed) : mRandom(aSeed), mFixture(aSeed)
  {
    mFixture.AddEngine("e1", { "cheap-1", "cheap-2" }, 2, "a");
    mFixture.AddEngine("e2", { "cheap-1", "dear-1" }, 2, "b");
    mFixture.AddEngine("e3", { "cheap-2", "dear-1" }, 2, "a");
    mFixture.AddService("s1", "orders");
    mFixture.AddService("s2", "orders");
    mFixture.mRouter.ApplyRolls({ { RollName("roll"), 30, false } }, mFixture.mClock.Now());
  }

  void RunEvents(std::size_t aCount)
  {
    for (std::size_t n = 0; n < aCount; ++n) {
      RandomEvent();
      Check(mFixture.Run(std::chrono::milliseconds(10 * Draw(5))));
    }
    for (std::size_t n = 0; n < 200; ++n) {
      for (std::size_t tries = 0; tries < 8; ++tries) {
        EndRandomAttempt();
      }
      Check(mFixture.Run(std::chrono::milliseconds(100)));
    }
    for (const auto& entry : mRequests) {
      INFO("request " << entry.first.Value());
      REQUIRE(entry.second.mEnded);
    }
  }

private:
  std::size_t Draw(std::size_t aCount)
  {
    return boost::random::uniform_int_distribution<std::size_t>(0, aCount - 1)(mRandom);
  }

  void RandomEvent()
  {
    switch (Draw(12)) {
      case 0:
        ChangeBundle();
        return;
      case 1:
        ChangeLeaving();
        return;
      case 2:
        mFixture.mRouter.ApplyRolls({ { RollName("roll"), 10.0 * Draw(11), Draw(40) == 0 } },
                                    mFixture.mClock.Now());
        return;
      case 3:
        DisconnectCaller();
        return;
      case 4:
      case 5:
      case 6:
      case 7:
        StartRandomRequest();
        return;
      default:
        EndRandomAttempt();
    }
  }

  void ChangeBundle()
  {
    if (Draw(20) == 0) {
      mFixture.mBundle.mVersions[Draw(3)].mState = VersionState::Withdrawn;
    }
    if (Draw(20) == 0) {
      mFixture.mBundle.mTeams[0].mModels = { ModelName(Draw(2) == 0 ? "cheap" : "dear") };
    }
    Check(mFixture.ApplyBundle());
  }

  void ChangeLeaving()
  {
    const auto index = Draw(mFixture.mRecords.size());
    mFixture.mRecords[index].mLeaving = Draw(3) == 0;
    mFixture.ApplyEndpoints();
  }

  void StartRandomRequest()
  {
    auto facts = mFixture.MakeFacts(std::chrono::milliseconds(200 + Draw(5000)));
    const auto kind = Draw(5);
    if (kind == 0) {
      facts.mService = ServiceName("orders");
      facts.mClass = ClassName("order");
    } else if (kind == 1) {
      facts.mPinnedVersion = mFixture.mBundle.mVersions[Draw(3)].mId;
    } else if (kind == 2) {
      facts.mClass = ClassName("status");
    } else {
      facts.mModel = ModelName(Draw(2) == 0 ? "cheap" : "dear");
      facts.mStartsSession = Draw(2) == 0;
      facts.mDeclaredNonIdempotent = Draw(4) == 0;
    }
    facts.mFingerprint = Fingerprint("f" + std::to_string(Draw(40)));
    auto& tracked = mRequests[facts.mId];
    tracked.mFacts = facts;
    tracked.mNonIdempotent = mFixture.mRouter.IsNonIdempotent(facts);
    Check(mFixture.mRouter.Start(facts, mFixture.mClock.Now()));
  }

  void EndRandomAttempt()
  {
    std::vector<DispatchStep> live;
    for (const auto& entry : mRequests) {
      for (const auto& attempt : entry.second.mLive) {
        live.push_back(attempt.second);
      }
    }
    if (live.empty()) {
      return;
    }
    const auto step = live[Draw(live.size())];
    static constexpr AttemptEnd kEnds[] = { AttemptEnd::Complete,      AttemptEnd::Complete,
                                            AttemptEnd::Complete,      AttemptEnd::Refused,
                                            AttemptEnd::ConnectFailed, AttemptEnd::Failed,
                                            AttemptEnd::TimedOut,      AttemptEnd::Broken,
                                            AttemptEnd::Rejected };
    const auto outcome = Fixture::Outcome(kEnds[Draw(std::size(kEnds))]);
    auto& tracked = mRequests[step.mRequest];
    tracked.mLive.erase(step.mAttempt);
    tracked.mWorst = WorseVerdict(tracked.mWorst, outcome.mVerdict);
    Check(
      mFixture.mRouter.ReportOutcome(step.mRequest, step.mAttempt, outcome, mFixture.mClock.Now()));
  }

  void DisconnectCaller()
  {
    for (auto& entry : mRequests) {
      if (!entry.second.mEnded && Draw(10) == 0) {
        Check(mFixture.mRouter.OnCallerDisconnected(entry.first, mFixture.mClock.Now()));
        entry.second.mEnded = true;
        REQUIRE(entry.second.mLive.empty());
        return;
      }
    }
  }

  void Check(const RouterSteps& aSteps)
  {
    for (const auto& step : aSteps) {
      std::visit([&](const auto& aStep) { CheckStep(mRequests.at(aStep.mRequest), aStep); }, step);
    }
  }

  void CheckStep(TrackedRequest& aRequest, const DispatchStep& aStep)
  {
    INFO("request " << aStep.mRequest.Value());
    REQUIRE_FALSE(aRequest.mEnded);
    if (aRequest.mNonIdempotent) {
      REQUIRE(aRequest.mWorst == Verdict::NotRun);
      REQUIRE(aRequest.mLive.empty());
      REQUIRE_FALSE(aStep.mHedge);
    }
    if (aStep.mVersion) {
      const auto* version = mFixture.mBundle.FindVersion(*aStep.mVersion);
      REQUIRE(mFixture.mBundle.Allows(mFixture.mBundle.mTeams[0], *version));
      REQUIRE(aStep.mLabel == version->mLabel);
    }
    if (aRequest.mFacts.mPinnedVersion) {
      REQUIRE(*aStep.mVersion == *aRequest.mFacts.mPinnedVersion);
    }
    if (aRequest.mFacts.mStartsSession) {
      aRequest.mVersions.insert(*aStep.mVersion);
      REQUIRE(aRequest.mVersions.size() == 1);
    }
    for (std::size_t n = 0; n < mFixture.mRecords.size(); ++n) {
      if (mFixture.mRecords[n].mId == aStep.mEndpoint) {
        REQUIRE_FALSE(mFixture.mRecords[n].mLeaving);
      }
    }
    REQUIRE(aRequest.mLive.emplace(aStep.mAttempt, aStep).second);
  }

  void CheckStep(TrackedRequest& aRequest, const RefuseStep& aStep)
  {
    INFO("request " << aStep.mRequest.Value() << " " << aStep.mReason);
    REQUIRE_FALSE(aRequest.mEnded);
    REQUIRE(aRequest.mLive.empty());
    REQUIRE(aStep.mVerdict == aRequest.mWorst);
    aRequest.mEnded = true;
  }

  void CheckStep(TrackedRequest& aRequest, const CancelStep& aStep)
  {
    REQUIRE(aRequest.mLive.erase(aStep.mAttempt) == 1);
    aRequest.mWorst = WorseVerdict(aRequest.mWorst, Verdict::MayHaveRun);
  }

  void CheckStep(TrackedRequest& aRequest, const FinishStep& aStep)
  {
    INFO("request " << aStep.mRequest.Value());
    REQUIRE_FALSE(aRequest.mEnded);
    REQUIRE(aRequest.mLive.empty());
    aRequest.mEnded = true;
  }

  void CheckStep(TrackedRequest&, const WaitStep&) {}

  boost::random::mt19937_64 mRandom;
  Fixture mFixture;
  std::map<RequestId, TrackedRequest> mRequests;
};

} // namespace

TEST_CASE("Random events never break a promise of the router")
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    RandomizedRouterTest(seed).RunEvents(300);
  }
}

} // namespace skylarkchute
