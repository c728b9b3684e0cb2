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

/** What a checker knows of one request. */
struct Watched
{
  RequestFacts mFacts;
  bool mNonIdempotent = false;
  bool mEnded = false;
  Verdict mWorst = Verdict::NotRun;
  std::set<VersionId> mVersions;
  std::map<AttemptId, DispatchStep> mLive;
};

/** Random events on one router; every step is checked against the promises. */
class PromiseWorld
{
public:
  explicit PromiseWorld(std::uint64_t aSeed) : mRandom(aSeed), mIt(aSeed)
  {
    mIt.AddEngine("e1", { "cheap-1", "cheap-2" }, 2, "a");
    mIt.AddEngine("e2", { "cheap-1", "dear-1" }, 2, "b");
    mIt.AddEngine("e3", { "cheap-2", "dear-1" }, 2, "a");
    mIt.AddService("s1", "orders");
    mIt.AddService("s2", "orders");
    mIt.mRouter.ApplyRolls({ { RollName("roll"), 30, false } }, mIt.mClock.Now());
  }

  void RunEvents(std::size_t aCount)
  {
    for (std::size_t n = 0; n < aCount; ++n) {
      RandomEvent();
      Check(mIt.Run(std::chrono::milliseconds(10 * Draw(5))));
    }
    for (std::size_t n = 0; n < 200; ++n) {
      for (std::size_t tries = 0; tries < 8; ++tries) {
        EndOne();
      }
      Check(mIt.Run(std::chrono::milliseconds(100)));
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
        Withdraw();
        return;
      case 1:
        Leave();
        return;
      case 2:
        mIt.mRouter.ApplyRolls({ { RollName("roll"), 10.0 * Draw(11), Draw(40) == 0 } },
                               mIt.mClock.Now());
        return;
      case 3:
        CallerLeaves();
        return;
      case 4:
      case 5:
      case 6:
      case 7:
        StartOne();
        return;
      default:
        EndOne();
    }
  }

  void Withdraw()
  {
    if (Draw(20) == 0) {
      mIt.mBundle.mVersions[Draw(3)].mState = VersionState::Withdrawn;
    }
    if (Draw(20) == 0) {
      mIt.mBundle.mTeams[0].mModels = { ModelName(Draw(2) == 0 ? "cheap" : "dear") };
    }
    Check(mIt.ApplyBundle());
  }

  void Leave()
  {
    const auto index = Draw(mIt.mRecords.size());
    mIt.mRecords[index].mLeaving = Draw(3) == 0;
    mIt.ApplyEndpoints();
  }

  void StartOne()
  {
    auto facts = mIt.Facts(std::chrono::milliseconds(200 + Draw(5000)));
    const auto kind = Draw(5);
    if (kind == 0) {
      facts.mService = ServiceName("orders");
      facts.mClass = ClassName("order");
    } else if (kind == 1) {
      facts.mPinnedVersion = mIt.mBundle.mVersions[Draw(3)].mId;
    } else if (kind == 2) {
      facts.mClass = ClassName("status");
    } else {
      facts.mModel = ModelName(Draw(2) == 0 ? "cheap" : "dear");
      facts.mStartsSession = Draw(2) == 0;
      facts.mDeclaredNonIdempotent = Draw(4) == 0;
    }
    facts.mFingerprint = Fingerprint("f" + std::to_string(Draw(40)));
    auto& watched = mRequests[facts.mId];
    watched.mFacts = facts;
    watched.mNonIdempotent = mIt.mRouter.IsNonIdempotent(facts);
    Check(mIt.mRouter.Start(facts, mIt.mClock.Now()));
  }

  void EndOne()
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
    auto& watched = mRequests[step.mRequest];
    watched.mLive.erase(step.mAttempt);
    watched.mWorst = WorseVerdict(watched.mWorst, outcome.mVerdict);
    Check(mIt.mRouter.ReportOutcome(step.mRequest, step.mAttempt, outcome, mIt.mClock.Now()));
  }

  void CallerLeaves()
  {
    for (auto& entry : mRequests) {
      if (!entry.second.mEnded && Draw(10) == 0) {
        Check(mIt.mRouter.CallerLeft(entry.first, mIt.mClock.Now()));
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

  void CheckStep(Watched& aRequest, const DispatchStep& aStep)
  {
    INFO("request " << aStep.mRequest.Value());
    REQUIRE_FALSE(aRequest.mEnded);
    if (aRequest.mNonIdempotent) {
      REQUIRE(aRequest.mWorst == Verdict::NotRun);
      REQUIRE(aRequest.mLive.empty());
      REQUIRE_FALSE(aStep.mHedge);
    }
    if (aStep.mVersion) {
      const auto* version = mIt.mBundle.FindVersion(*aStep.mVersion);
      REQUIRE(mIt.mBundle.Allows(mIt.mBundle.mTeams[0], *version));
      REQUIRE(aStep.mLabel == version->mLabel);
    }
    if (aRequest.mFacts.mPinnedVersion) {
      REQUIRE(*aStep.mVersion == *aRequest.mFacts.mPinnedVersion);
    }
    if (aRequest.mFacts.mStartsSession) {
      aRequest.mVersions.insert(*aStep.mVersion);
      REQUIRE(aRequest.mVersions.size() == 1);
    }
    for (std::size_t n = 0; n < mIt.mRecords.size(); ++n) {
      if (mIt.mRecords[n].mId == aStep.mEndpoint) {
        REQUIRE_FALSE(mIt.mRecords[n].mLeaving);
      }
    }
    REQUIRE(aRequest.mLive.emplace(aStep.mAttempt, aStep).second);
  }

  void CheckStep(Watched& aRequest, const RefuseStep& aStep)
  {
    INFO("request " << aStep.mRequest.Value() << " " << aStep.mReason);
    REQUIRE_FALSE(aRequest.mEnded);
    REQUIRE(aRequest.mLive.empty());
    REQUIRE(aStep.mVerdict == aRequest.mWorst);
    aRequest.mEnded = true;
  }

  void CheckStep(Watched& aRequest, const CancelStep& aStep)
  {
    REQUIRE(aRequest.mLive.erase(aStep.mAttempt) == 1);
    aRequest.mWorst = WorseVerdict(aRequest.mWorst, Verdict::MayHaveRun);
  }

  void CheckStep(Watched& aRequest, const FinishStep& aStep)
  {
    INFO("request " << aStep.mRequest.Value());
    REQUIRE_FALSE(aRequest.mEnded);
    REQUIRE(aRequest.mLive.empty());
    aRequest.mEnded = true;
  }

  void CheckStep(Watched&, const WaitStep&) {}

  boost::random::mt19937_64 mRandom;
  Fixture mIt;
  std::map<RequestId, Watched> mRequests;
};

} // namespace

TEST_CASE("Random events never break a promise of the router")
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    PromiseWorld(seed).RunEvents(300);
  }
}

} // namespace skylarkchute
