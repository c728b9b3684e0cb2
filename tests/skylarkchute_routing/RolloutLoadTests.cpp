#include "FleetFixture.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <vector>

using namespace skylarkchute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds kPeriod{ 16 };
constexpr int kEndpoints = 9;
constexpr std::size_t kInstances = 7;
constexpr std::uint32_t kSlots = 64; /**< As FleetFixture::AddEndpoints() sets them. */
constexpr milliseconds kTick{ 5 };
constexpr milliseconds kExchangeInterval{ 200 };
constexpr double kRequestsPerSecond = 130;
constexpr double kMeanRunMs = 1400;
constexpr int kSubjects = 500;

/** A version's behaviour and the traffic during its rollout. */
struct Scenario
{
  double mFailureShare = 0;       /**< Share of the newer version's requests that fail. */
  std::uint32_t mFailureLoad = 0; /**< Running requests on the endpoint from which they fail. */
  double mBurst = 1;              /**< Factor of the traffic from 2 s to 10 s. */
};

struct Result
{
  RolloutStep mStep = RolloutStep::None;
  int mRequests = 0;
  int mToNewer = 0;
  std::uint32_t mHighestNewerLoad = 0;

  bool IsWithinBound() const { return mToNewer <= 0.15 * mRequests + 30; }
};

/** Instances that share endpoints whose requests take time, so that load builds up on them. */
class LoadedFleet
{
public:
  LoadedFleet(const Scenario& aScenario, std::uint32_t aSeed) : mScenario(aScenario), mRandom(aSeed)
  {
    for (std::size_t n = 0; n < kInstances; ++n) {
      mInstances.push_back(std::make_unique<FleetFixture>());
      auto& fleet = *mInstances.back();
      fleet.AddEndpoints("old", kEndpoints);
      fleet.AddEndpoints("new", kEndpoints, "v2");
      fleet.mRouter.SetInstances(kInstances);
    }
  }

  Result Run()
  {
    Advance(seconds(6), 1);
    for (auto& it : mInstances) {
      it->OrderRollout("v2", kPeriod);
    }
    mResult = {};
    mIsOrdered = true;
    Advance(seconds(2), 1);
    Advance(seconds(8), mScenario.mBurst);
    Advance(kPeriod - seconds(10), 1);
    return mResult;
  }

private:
  struct Running
  {
    TimePoint mEnd{};
    std::size_t mInstance = 0;
    RequestPlan mPlan;
    AttemptPlan mAttempt;
    bool mFails = false;
  };

  TimePoint Now() const { return mInstances.front()->mNow; }

  void Advance(milliseconds aTime, double aFactor)
  {
    const auto end = Now() + aTime;
    while (Now() < end) {
      for (auto& it : mInstances) {
        it->mNow += kTick;
        it->mRouter.Tick(it->mNow);
      }
      End();
      mDue += aFactor * kRequestsPerSecond * std::chrono::duration<double>(kTick).count();
      for (; mDue >= 1; mDue -= 1) {
        Start();
      }
      if (mIsOrdered && Now() >= mNextExchange) {
        Exchange();
        mNextExchange = Now() + kExchangeInterval;
      }
    }
  }

  void Start()
  {
    const auto n = mRandom() % kInstances;
    auto& fleet = *mInstances[n];
    Running running;
    running.mInstance = n;
    running.mPlan = fleet.Admit("/chat/1", "s" + std::to_string(mRandom() % kSubjects));
    Send(running);
  }

  void Send(Running& aRunning)
  {
    auto& fleet = *mInstances[aRunning.mInstance];
    auto decision = fleet.mRouter.NextAttempt(aRunning.mPlan, false, Now());
    if (!std::holds_alternative<AttemptPlan>(decision)) {
      return;
    }
    aRunning.mAttempt = std::get<AttemptPlan>(decision);
    const auto& attempt = aRunning.mAttempt;
    fleet.mRouter.OnSent(aRunning.mPlan, attempt, Now());
    auto& load = mLoads[attempt.mEndpoint];
    const bool isNewer = attempt.mVersion == "v2";
    ++mResult.mRequests;
    mResult.mToNewer += isNewer ? 1 : 0;
    mResult.mHighestNewerLoad = std::max(mResult.mHighestNewerLoad, isNewer ? load : 0);
    std::uniform_real_distribution<double> part(0, 1);
    aRunning.mFails =
      isNewer && load >= mScenario.mFailureLoad && part(mRandom) < mScenario.mFailureShare;
    std::exponential_distribution<double> run(1 / kMeanRunMs);
    const double runMs = aRunning.mFails ? 10 : std::min(run(mRandom), 5 * kMeanRunMs);
    aRunning.mEnd = Now() + milliseconds(static_cast<int>(runMs));
    ++load;
    // An endpoint with more load begins to answer later, whatever its version.
    const double latencyMs = load > kSlots / 2 ? 60.0 * load / 8 : 60;
    if (!aRunning.mFails) {
      fleet.mRouter.OnFirstByte(
        aRunning.mPlan, attempt, milliseconds(static_cast<int>(latencyMs)), Now());
    }
    fleet.mRouter.OnLoad(attempt.mEndpoint, { load, 0, kSlots }, Now());
    mRunning.push_back(std::move(aRunning));
  }

  void End()
  {
    std::vector<Running> ended;
    std::erase_if(mRunning, [&](Running& aRunning) {
      if (aRunning.mEnd > Now()) {
        return false;
      }
      ended.push_back(std::move(aRunning));
      return true;
    });
    for (auto& it : ended) {
      --mLoads[it.mAttempt.mEndpoint];
      const auto outcome = it.mFails ? RelayOutcome::Failed : RelayOutcome::Answered;
      mInstances[it.mInstance]->mRouter.OnEnded(it.mPlan, it.mAttempt, outcome, Now());
      if (it.mFails) {
        Send(it);
      }
    }
  }

  /** Each instance tells two others, and the first decision is recorded for all. */
  void Exchange()
  {
    for (std::size_t n = 0; n < kInstances; ++n) {
      for (auto evidence : mInstances[n]->mRouter.Rollouts().Evidence(Now())) {
        // The fixtures have the same name; a peer's counts are its own only.
        if (evidence.mInstance != IncarnationId("own~1")) {
          continue;
        }
        evidence.mInstance = IncarnationId("i" + std::to_string(n));
        for (const std::size_t step : { 1, 3 }) {
          mInstances[(n + step) % kInstances]->mRouter.Rollouts().OnEvidence(evidence, Now());
        }
      }
    }
    for (auto& it : mInstances) {
      const auto step = it->mRouter.Rollouts().NextStep(ServiceName("svc"), Now());
      if (step != RolloutStep::None && mResult.mStep == RolloutStep::None) {
        mResult.mStep = step;
        Record(step);
      }
    }
  }

  void Record(RolloutStep aStep)
  {
    for (auto& it : mInstances) {
      it->OrderRollout("v2",
                       kPeriod,
                       aStep == RolloutStep::Complete ? RolloutState::Completed
                                                      : RolloutState::RolledBack);
    }
  }

  Scenario mScenario;
  std::mt19937 mRandom;
  std::vector<std::unique_ptr<FleetFixture>> mInstances;
  std::vector<Running> mRunning;
  std::map<EndpointId, std::uint32_t> mLoads;
  TimePoint mNextExchange{};
  double mDue = 0;
  bool mIsOrdered = false;
  Result mResult;
};

struct Tally
{
  int mCompleted = 0;
  int mRolledBack = 0;
  int mOverBound = 0;
};

Tally Play(const Scenario& aScenario, std::uint32_t aSeeds)
{
  Tally tally;
  for (std::uint32_t seed = 1; seed <= aSeeds; ++seed) {
    const auto result = LoadedFleet(aScenario, seed).Run();
    tally.mCompleted += result.mStep == RolloutStep::Complete ? 1 : 0;
    tally.mRolledBack += result.mStep == RolloutStep::RollBack ? 1 : 0;
    tally.mOverBound += result.IsWithinBound() ? 0 : 1;
  }
  return tally;
}

constexpr std::uint32_t kSeeds = 8;
constexpr std::uint32_t kManySeeds = 200;

constexpr Scenario kFailsLoaded{ 0.5, kSlots / 2, 1 };
constexpr Scenario kFailsLoadedInBurst{ 0.5, kSlots / 2, 1.6 };
constexpr Scenario kGood{ 0, 0, 1 };
constexpr Scenario kGoodInBurst{ 0, 0, 1.6 };

void CheckAll(std::uint32_t aSeeds)
{
  const auto count = static_cast<int>(aSeeds);
  for (const auto& scenario : { kFailsLoaded, kFailsLoadedInBurst }) {
    const auto tally = Play(scenario, aSeeds);
    INFO("bad under load, burst " << scenario.mBurst << ": completed " << tally.mCompleted
                                  << ", over the bound " << tally.mOverBound << " of " << aSeeds);
    CHECK(tally.mRolledBack == count);
    CHECK(tally.mOverBound == 0);
  }
  for (const auto& scenario : { kGood, kGoodInBurst }) {
    const auto tally = Play(scenario, aSeeds);
    INFO("good, burst " << scenario.mBurst << ": rolled back " << tally.mRolledBack << " of "
                        << aSeeds);
    CHECK(tally.mCompleted == count);
  }
}

} // namespace

TEST_CASE("rollout: a version that fails only under load is rolled back, a good one is completed")
{
  CheckAll(kSeeds);
}

TEST_CASE("rollout: many fleets with versions that fail only under load", "[.][long]")
{
  CheckAll(kManySeeds);
}
