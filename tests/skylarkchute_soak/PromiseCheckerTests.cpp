#include "soak/PromiseChecker.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>

using namespace skylarkchute::soak;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint At(milliseconds aTime)
{
  return TimePoint(seconds(1000)) + aTime;
}

Exchange Answered(const std::string& aId, RequestKind aKind, milliseconds aStart)
{
  Exchange exchange;
  exchange.mId = aId;
  exchange.mRelay = "relay-1";
  exchange.mKind = aKind;
  exchange.mPath = "/path/" + aId;
  exchange.mDeadline = milliseconds(3000);
  exchange.mStart = At(aStart);
  exchange.mSent = At(aStart);
  exchange.mEnd = At(aStart + milliseconds(300));
  exchange.mStatus = 200;
  exchange.mIsComplete = true;
  exchange.mHasSeal = true;
  exchange.mAnswerId = aId;
  exchange.mAnswer =
    aKind == RequestKind::Stream ? ExpectedStream(aId) : R"({"request":")" + aId + R"("})";
  return exchange;
}

Run RunOf(const Exchange& aExchange)
{
  Run run;
  run.mId = aExchange.mId;
  run.mEndpoint = "endpoint-1";
  run.mPath = aExchange.mPath;
  run.mAt = aExchange.mStart;
  return run;
}

/** Returns what a soak shows in which every promise was kept, with a case for each check. */
Evidence Kept()
{
  Evidence evidence;
  evidence.mLives.push_back({ "relay-1", At(seconds(0)), {}, {}, {}, 0 });
  evidence.mLives.push_back({ "relay-2", At(seconds(0)), At(seconds(20)), {}, At(seconds(25)), 0 });
  evidence.mConfigurations.push_back({ 1, At(seconds(5)), At(seconds(5)) });
  evidence.mConfigurations.push_back({ 2, At(seconds(30)), At(seconds(30)) });
  auto add = [&](Exchange aExchange) {
    evidence.mRuns.push_back(RunOf(aExchange));
    evidence.mExchanges.push_back(std::move(aExchange));
  };
  add(Answered("order", RequestKind::Order, seconds(10)));
  add(Answered("stream", RequestKind::Stream, seconds(10)));
  auto probe = Answered("probe", RequestKind::Probe, seconds(10));
  probe.mVersion = 1;
  add(probe);
  auto second = Answered("second", RequestKind::Probe, seconds(12));
  second.mVersion = 1;
  add(second);
  auto stopped = Answered("stopped", RequestKind::Stream, seconds(20));
  stopped.mRelay = "relay-2";
  add(stopped);
  auto left = Answered("left", RequestKind::Stream, seconds(15));
  left.mIsGivenUp = true;
  left.mIsComplete = false;
  add(left);
  for (int n = 0; n < 4; ++n) {
    auto crash = Answered("crash" + std::to_string(n), RequestKind::Stream, seconds(n));
    crash.mPart = "part";
    add(crash);
    evidence.mRuns.back().mIsCrash = true;
  }
  auto refused = Answered("refused", RequestKind::Order, seconds(11));
  refused.mStatus = 503;
  evidence.mExchanges.push_back(refused);
  auto dropped = Answered("dropped", RequestKind::Probe, seconds(40));
  dropped.mVersion = 1;
  dropped.mStatus = 404;
  evidence.mExchanges.push_back(dropped);
  evidence.mExchanges.push_back(Answered("known", RequestKind::Stream, seconds(50)));
  evidence.mExchanges.back().mPart = "part";
  evidence.mExchanges.back().mStatus = 503;
  evidence.mLastFaultEnd = At(seconds(30));
  add(Answered("recovered", RequestKind::Read, seconds(50)));
  evidence.mRollouts.push_back(
    { "service", "v2", false, At(seconds(50)), At(seconds(56)), "completed" });
  evidence.mRollouts.push_back(
    { "endpoint", "v3", true, At(seconds(50)), At(seconds(56)), "rolled_back" });
  auto stranger = Answered("stranger", RequestKind::Read, seconds(11));
  stranger.mHasUnknownKey = true;
  stranger.mStatus = 401;
  evidence.mExchanges.push_back(stranger);
  evidence.mDrainedEndpoints.push_back("endpoint-1");
  evidence.mReadiness.push_back({ "relay-2", At(seconds(21)), true });
  evidence.mResources.push_back({ "relay-1", At(seconds(50)), 20'000'000, 60, true });
  return evidence;
}

Exchange& Find(Evidence& aEvidence, const std::string& aId)
{
  return *std::find_if(aEvidence.mExchanges.begin(),
                       aEvidence.mExchanges.end(),
                       [&](const Exchange& it) { return it.mId == aId; });
}

/** Cuts an exchange, and copies it so that it counts more often than is tolerated. */
void CutOften(Evidence& aEvidence, const std::string& aId)
{
  auto& cut = Find(aEvidence, aId);
  cut.mIsComplete = false;
  const auto copy = cut;
  aEvidence.mExchanges.insert(aEvidence.mExchanges.end(), 4, copy);
}

std::vector<std::string> BrokenPromises(const Evidence& aEvidence)
{
  std::vector<std::string> names;
  for (const auto& it : PromiseChecker(aEvidence).CheckAll()) {
    if (it.IsBroken()) {
      names.push_back(it.mName);
    }
  }
  return names;
}

struct Break
{
  std::string mPromise;
  void (*mApply)(Evidence&);
};

const std::vector<Break> kBreaks{
  { "a success is the whole answer of its own request",
    [](Evidence& it) { Find(it, "stream").mAnswer.resize(50); } },
  { "a success is the whole answer of its own request",
    [](Evidence& it) { Find(it, "order").mAnswerId = "other"; } },
  { "a success is the whole answer of its own request",
    [](Evidence& it) { Find(it, "order").mHasSeal = false; } },
  { "no bytes without a request", [](Evidence& it) { Find(it, "order").mHasStrayBytes = true; } },
  { "endpoints run what clients sent", [](Evidence& it) { it.mRuns.front().mPath = "/other"; } },
  { "endpoints run what clients sent",
    [](Evidence& it) {
      it.mRuns.push_back({ "unknown", "endpoint-1", "v1", "/", "", "", {}, false, {} });
    } },
  { "an order runs at most once",
    [](Evidence& it) { it.mRuns.push_back(RunOf(Find(it, "order"))); } },
  { "a refused order has not run",
    [](Evidence& it) { it.mRuns.push_back(RunOf(Find(it, "refused"))); } },
  { "calm relays answer what they passed on", [](Evidence& it) { CutOften(it, "order"); } },
  { "a planned stop, reload or configuration cuts nothing",
    [](Evidence& it) { Find(it, "stopped").mIsComplete = false; } },
  { "calm relays answer by the deadline",
    [](Evidence& it) {
      Find(it, "order").mEnd += seconds(4);
      const auto late = Find(it, "order");
      it.mExchanges.insert(it.mExchanges.end(), 4, late);
    } },
  { "nothing is sent on after its client has left",
    [](Evidence& it) {
      auto run = RunOf(Find(it, "left"));
      run.mAt += seconds(2);
      it.mRuns.insert(it.mRuns.end(), 4, run);
    } },
  { "a configuration is in force in time", [](Evidence& it) { Find(it, "probe").mStatus = 404; } },
  { "a relay never goes back to an older configuration",
    [](Evidence& it) { Find(it, "second").mStatus = 404; } },
  { "a dropped route is not run",
    [](Evidence& it) { it.mRuns.push_back(RunOf(Find(it, "dropped"))); } },
  { "a request runs only with a key that is in force",
    [](Evidence& it) { it.mRuns.push_back(RunOf(Find(it, "stranger"))); } },
  { "a request runs only with a key that is in force",
    [](Evidence& it) { it.mConfigurations.back().mHasTeams = false; } },
  { "a draining endpoint gets no requests",
    [](Evidence& it) { it.mRuns.front().mDraining = milliseconds(2500); } },
  { "a prompt part that crashes endpoints is stopped",
    [](Evidence& it) {
      auto run = RunOf(Find(it, "known"));
      run.mIsCrash = true;
      it.mRuns.insert(it.mRuns.end(), 4, run);
    } },
  { "a good version is completed, a bad one rolled back",
    [](Evidence& it) { it.mRollouts.front().mState = "rolled_back"; } },
  { "a good version is completed, a bad one rolled back",
    [](Evidence& it) { it.mRollouts.back().mState = "completed"; } },
  { "a bad version gets few requests",
    [](Evidence& it) {
      auto run = RunOf(Find(it, "recovered"));
      run.mVersion = "v3";
      it.mRuns.insert(it.mRuns.end(), 50, run);
    } },
  { "a stopping relay is not ready",
    [](Evidence& it) {
      it.mReadiness.push_back({ "relay-2", At(milliseconds(24500)), true });
    } },
  { "a relay ends when told, in time, and only then",
    [](Evidence& it) { it.mLives.front().mEnd = At(seconds(60)); } },
  { "a relay ends when told, in time, and only then",
    [](Evidence& it) { it.mLives.back().mWaitStatus = SIGSEGV; } },
  { "a relay ends when told, in time, and only then",
    [](Evidence& it) { it.mLives.back().mEnd = At(seconds(32)); } },
  { "requests are served again after the last fault",
    [](Evidence& it) { Find(it, "recovered").mStatus = 503; } },
  { "memory and descriptors of relays are bounded",
    [](Evidence& it) { it.mResources.front().mDescriptors = 300; } },
  { "memory and descriptors of relays are bounded",
    [](Evidence& it) { it.mResources.front().mResidentBytes = 200'000'000; } },
};

} // namespace

TEST_CASE("Kept promises: every check has a case and none is broken")
{
  const auto evidence = Kept();
  for (const auto& it : PromiseChecker(evidence).CheckAll()) {
    INFO(it.mName);
    CHECK(it.mCases > 0);
    CHECK(it.mViolations.empty());
  }
}

TEST_CASE("Each check shows its promise broken")
{
  for (const auto& it : kBreaks) {
    auto evidence = Kept();
    it.mApply(evidence);
    const auto broken = BrokenPromises(evidence);
    INFO(it.mPromise);
    CHECK(std::count(broken.begin(), broken.end(), it.mPromise) == 1);
  }
}

TEST_CASE("Every check is shown broken by a test")
{
  const auto evidence = Kept();
  for (const auto& it : PromiseChecker(evidence).CheckAll()) {
    INFO(it.mName);
    CHECK(std::any_of(kBreaks.begin(), kBreaks.end(), [&](const Break& other) {
      return other.mPromise == it.mName;
    }));
  }
}

TEST_CASE("A check without a case is not kept but not run")
{
  const Evidence evidence;
  for (const auto& it : PromiseChecker(evidence).CheckAll()) {
    CHECK(it.mCases == 0);
    CHECK_FALSE(it.IsBroken());
  }
}

TEST_CASE("A disturbance of the relay excuses a cut, one of the store does not")
{
  auto evidence = Kept();
  Find(evidence, "stopped").mIsComplete = false;
  evidence.mDisturbances.push_back({ Subject::Store, "store", At(seconds(19)), At(seconds(21)) });
  CHECK(BrokenPromises(evidence).size() == 1);
  evidence.mDisturbances.push_back({ Subject::Relay, "relay-2", At(seconds(19)), At(seconds(21)) });
  CHECK(BrokenPromises(evidence).empty());
}

TEST_CASE("A stop signal in the first moment of a process ends it by its default effect")
{
  auto evidence = Kept();
  auto& life = evidence.mLives.back();
  life.mWaitStatus = SIGTERM;
  life.mStopped = life.mBegin + milliseconds(30);
  life.mEnd = life.mBegin + milliseconds(60);
  CHECK(BrokenPromises(evidence).empty());
  life.mWaitStatus = SIGSEGV;
  CHECK(BrokenPromises(evidence).size() == 1);
  life.mWaitStatus = SIGTERM;
  life.mStopped = life.mBegin + kLoadTime;
  life.mEnd = life.mBegin + seconds(1);
  CHECK(BrokenPromises(evidence).size() == 1);
}
