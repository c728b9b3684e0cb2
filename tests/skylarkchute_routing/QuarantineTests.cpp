#include "RouterFixture.h"

#include <catch2/catch.hpp>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace skylarkchute {

namespace {

using Fixture = RouterFixture;

const Fingerprint kCrashingFingerprint{ "poison" };
constexpr std::uint64_t kSeeds = 200;

/** An attempt running at a simulated engine. */
struct RunningAttempt
{
  std::size_t mInstance;
  DispatchStep mStep;
  Fingerprint mFingerprint;
  TimePoint mEndsAt;
};

/** An alert that has not yet arrived at the other instances. */
struct AlertInTransit
{
  std::size_t mFrom;
  RoutingAlert mAlert;
  TimePoint mArrivesAt;
};

/** Simulates several instances that share engines. Requests with kCrashingFingerprint crash every
    engine that runs them. */
class CrashSimulation
{
public:
  CrashSimulation(std::size_t aInstances, std::size_t aEngines, std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    for (std::size_t n = 0; n < aInstances; ++n) {
      mInstances.push_back(std::make_unique<Fixture>(aSeed * 100 + n));
      for (std::size_t e = 0; e < aEngines; ++e) {
        mInstances.back()->AddEngine("e" + std::to_string(e), { "dear-1" }, 8);
      }
    }
  }

  std::size_t Draw(std::size_t aCount)
  {
    return boost::random::uniform_int_distribution<std::size_t>(0, aCount - 1)(mRandom);
  }

  void Send(std::size_t aInstance, const Fingerprint& aFingerprint)
  {
    auto& instance = *mInstances[aInstance];
    auto facts = instance.MakeFacts(std::chrono::seconds(20));
    facts.mId = RequestId("i" + std::to_string(aInstance) + "-" + facts.mId.Value());
    facts.mModel = ModelName("dear");
    facts.mFingerprint = aFingerprint;
    mFingerprints[facts.mId] = aFingerprint;
    ApplySteps(aInstance, instance.mRouter.Start(facts, instance.mClock.Now()));
  }

  /** Crashes an engine and breaks all attempts that run on it. */
  void Crash(const EndpointId& aEngine)
  {
    std::vector<RunningAttempt> affected;
    std::copy_if(mRunning.begin(),
                 mRunning.end(),
                 std::back_inserter(affected),
                 [&](const auto& it) { return it.mStep.mEndpoint == aEngine; });
    std::erase_if(mRunning, [&](const auto& it) { return it.mStep.mEndpoint == aEngine; });
    mDownUntil[aEngine] = Now() + std::chrono::seconds(5);
    for (const auto& it : affected) {
      ApplySteps(it.mInstance, mInstances[it.mInstance]->End(it.mStep, AttemptEnd::Broken));
    }
  }

  void Run(std::chrono::milliseconds aTime)
  {
    constexpr std::chrono::milliseconds kStep{ 10 };
    for (auto it = kStep; it <= aTime; it += kStep) {
      Step(kStep);
    }
  }

  TimePoint Now() const { return mInstances.front()->mClock.Now(); }

  std::set<EndpointId> mCrashedEngines; /**< Engines crashed by kCrashingFingerprint. */
  std::size_t mCrashingAttempts = 0;
  std::size_t mFinished = 0;
  std::vector<RefuseStep> mRefusals;

private:
  void Step(std::chrono::milliseconds aStep)
  {
    for (std::size_t n = 0; n < mInstances.size(); ++n) {
      ApplySteps(n, mInstances[n]->Run(aStep));
    }
    std::vector<RunningAttempt> due;
    std::copy_if(mRunning.begin(), mRunning.end(), std::back_inserter(due), [&](const auto& it) {
      return it.mEndsAt <= Now();
    });
    std::erase_if(mRunning, [&](const auto& it) { return it.mEndsAt <= Now(); });
    for (const auto& it : due) {
      if (mDownUntil[it.mStep.mEndpoint] > Now()) {
        ApplySteps(it.mInstance,
                   mInstances[it.mInstance]->End(it.mStep, AttemptEnd::ConnectFailed));
      } else if (it.mFingerprint == kCrashingFingerprint) {
        mCrashedEngines.insert(it.mStep.mEndpoint);
        ++mCrashingAttempts;
        mRunning.push_back(it);
        Crash(it.mStep.mEndpoint);
      } else {
        ApplySteps(it.mInstance, mInstances[it.mInstance]->End(it.mStep, AttemptEnd::Complete));
      }
    }
    DeliverAlerts();
  }

  void DeliverAlerts()
  {
    for (std::size_t n = 0; n < mInstances.size(); ++n) {
      for (auto& it : mInstances[n]->mRouter.TakeReports(Now()).mAlerts) {
        mAlerts.push_back({ n, it, Now() + std::chrono::milliseconds(50) });
      }
    }
    while (!mAlerts.empty() && mAlerts.front().mArrivesAt <= Now()) {
      for (std::size_t n = 0; n < mInstances.size(); ++n) {
        if (n != mAlerts.front().mFrom) {
          mInstances[n]->mRouter.ApplyAlert(mAlerts.front().mAlert, Now());
        }
      }
      mAlerts.pop_front();
    }
  }

  void ApplySteps(std::size_t aInstance, const RouterSteps& aSteps)
  {
    for (const auto& it : Fixture::StepsOf<DispatchStep>(aSteps)) {
      const auto length = std::chrono::milliseconds(50 + Draw(400));
      mRunning.push_back({ aInstance, it, mFingerprints[it.mRequest], Now() + length });
    }
    for (const auto& it : Fixture::StepsOf<CancelStep>(aSteps)) {
      std::erase_if(mRunning, [&](const auto& aRun) { return aRun.mStep.mAttempt == it.mAttempt; });
    }
    mFinished += Fixture::StepsOf<FinishStep>(aSteps).size();
    for (const auto& it : Fixture::StepsOf<RefuseStep>(aSteps)) {
      mRefusals.push_back(it);
    }
  }

  boost::random::mt19937_64 mRandom;
  std::vector<std::unique_ptr<Fixture>> mInstances;
  std::map<RequestId, Fingerprint> mFingerprints;
  std::vector<RunningAttempt> mRunning;
  std::deque<AlertInTransit> mAlerts;
  std::map<EndpointId, TimePoint> mDownUntil;
};

} // namespace

TEST_CASE("A fingerprint that crashes engines costs at most two, wherever its caller resends")
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CrashSimulation simulation(3, 8, seed);
    for (std::size_t n = 0; n < 20; ++n) {
      for (std::size_t healthy = 0; healthy < 4; ++healthy) {
        simulation.Send(simulation.Draw(3), Fingerprint("h" + std::to_string(n * 4 + healthy)));
      }
      simulation.Send(simulation.Draw(3), kCrashingFingerprint);
      simulation.Run(std::chrono::milliseconds(100 + simulation.Draw(900)));
    }
    simulation.Run(std::chrono::seconds(25));
    INFO("seed " << seed);
    REQUIRE(simulation.mCrashedEngines.size() <= 2);
    REQUIRE(simulation.mCrashingAttempts <= 2);
  }
}

TEST_CASE("No request is quarantined when an engine crashes by itself")
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CrashSimulation simulation(3, 8, seed);
    for (std::size_t n = 0; n < 30; ++n) {
      for (std::size_t healthy = 0; healthy < 4; ++healthy) {
        simulation.Send(simulation.Draw(3), Fingerprint("h" + std::to_string(n * 4 + healthy)));
      }
      simulation.Run(std::chrono::milliseconds(100));
      if (n == 15) {
        simulation.Crash(EndpointId("e" + std::to_string(simulation.Draw(8))));
      }
    }
    simulation.Run(std::chrono::seconds(25));
    INFO("seed " << seed);
    for (const auto& it : simulation.mRefusals) {
      REQUIRE(it.mReason != "request-quarantined");
    }
    REQUIRE(simulation.mFinished + simulation.mRefusals.size() == 120);
    REQUIRE(simulation.mRefusals.size() <= 2);
  }
}

TEST_CASE("A quarantined fingerprint is refused at once, also where it waits in a queue")
{
  Fixture it;
  it.AddEngine("e1", { "dear-1" }, 1);
  auto busy = it.MakeFacts();
  busy.mModel = ModelName("dear");
  REQUIRE(Fixture::StepsOf<DispatchStep>(it.mRouter.Start(busy, it.mClock.Now())).size() == 1);
  auto waiting = it.MakeFacts();
  waiting.mModel = ModelName("dear");
  waiting.mFingerprint = kCrashingFingerprint;
  REQUIRE(Fixture::StepsOf<WaitStep>(it.mRouter.Start(waiting, it.mClock.Now())).size() == 1);
  it.mRouter.ApplyAlert({ std::nullopt, kCrashingFingerprint, 2, "endpoint-crash" },
                        it.mClock.Now());
  const auto refusals = Fixture::StepsOf<RefuseStep>(it.Run(std::chrono::milliseconds(10)));
  REQUIRE(refusals.size() == 1);
  REQUIRE(refusals[0].mRequest == waiting.mId);
  REQUIRE(refusals[0].mReason == "request-quarantined");
  REQUIRE(refusals[0].mVerdict == Verdict::NotRun);
  auto later = it.MakeFacts();
  later.mFingerprint = kCrashingFingerprint;
  later.mModel = ModelName("dear");
  REQUIRE(Fixture::StepsOf<RefuseStep>(it.mRouter.Start(later, it.mClock.Now())).size() == 1);
}

} // namespace skylarkchute
