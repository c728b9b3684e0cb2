#include <catch2/catch.hpp>
#include <skylarkchute_routing/fleet/PromptPartSuspects.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <random>

using namespace skylarkchute;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kStep{ 20 };
constexpr milliseconds kExchangeInterval{ 400 };
constexpr milliseconds kPruneInterval{ 200 };

/** An endpoint crashes this long after it has begun an answer to the bad part. */
constexpr milliseconds kCrashDelay{ 80 };
constexpr milliseconds kRestartTime{ 3000 };
constexpr milliseconds kRunTime{ 1200 };
constexpr int kMaxAttempts = 3;
constexpr PromptPartSuspects::Part kBadPart = 999999;
constexpr PromptPartSuspects::Part kCommonPart = 7;

/** Size and load of a simulated deployment. */
struct Deployment
{
  std::size_t mInstances = 9;
  std::size_t mEndpoints = 9;
  double mRate = 80;         /**< Sound requests per second. */
  double mBadRate = 3;       /**< Requests per second with the bad part. */
  milliseconds mStable{ 0 }; /**< After the fifth crash the bad part has to be known by then. */
};

/** Instances that exchange their reports, before endpoints that the bad part crashes. Requests
    with it begin after some seconds of sound traffic. */
class CrashingFleet
{
public:
  CrashingFleet(const Deployment& aDeployment, std::uint32_t aSeed)
    : mDeployment(aDeployment)
    , mRandom(aSeed)
    , mEndpoints(aDeployment.mEndpoints)
  {
    std::vector<InstanceId> names;
    for (std::size_t n = 0; n < aDeployment.mInstances; ++n) {
      names.emplace_back("i" + std::to_string(n));
    }
    for (std::size_t n = 0; n < aDeployment.mInstances; ++n) {
      auto others = names;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(n));
      mInstances.push_back(std::make_unique<PromptPartSuspects>());
      mInstances.back()->SetInstances(names[n], others);
    }
  }

  void Run(milliseconds aTime, bool aHasBadRequests)
  {
    const auto end = mNow + aTime;
    while (mNow < end) {
      mNow += kStep;
      Arrive(mDeployment.mRate, false);
      if (aHasBadRequests) {
        Arrive(mDeployment.mBadRate, true);
      }
      for (std::size_t n = 0; n < mEndpoints.size(); ++n) {
        Step(n);
      }
      Control();
    }
  }

  /** Starts an instance again, which has forgotten everything. */
  void Restart(std::size_t aInstance)
  {
    std::vector<InstanceId> others;
    for (std::size_t n = 0; n < mInstances.size(); ++n) {
      if (n != aInstance) {
        others.emplace_back("i" + std::to_string(n));
      }
    }
    mInstances[aInstance] = std::make_unique<PromptPartSuspects>();
    mInstances[aInstance]->SetInstances(InstanceId("i" + std::to_string(aInstance)), others);
  }

  int mCrashes = 0;
  int mBadSendsAfterStable = 0; /**< Later than mStable after the fifth crash. */
  int mSound = 0;               /**< Sound requests later than 2 x mStable after it. */
  int mSoundBegun = 0;          /**< Those of them that began at the first attempt. */

private:
  struct Attempt
  {
    std::size_t mInstance = 0;
    PromptPartSuspects::Parts mParts;
    int mNumber = 1;
    TimePoint mBegin{};
    bool mHasProof = false;
    bool mIsCounted = false; /**< Among the sound requests that are judged. */
  };

  struct Endpoint
  {
    std::vector<Attempt> mRuns;
    int mIncarnation = 0;
    TimePoint mUpAt{};
    std::vector<std::size_t> mToDetect; /**< Instances that lost requests in the last crash. */
    std::optional<TimePoint> mDetectAt;
  };

  std::string NameOf(std::size_t aEndpoint) const
  {
    return "e" + std::to_string(aEndpoint) + "~" +
           std::to_string(mEndpoints[aEndpoint].mIncarnation);
  }

  bool IsBad(const PromptPartSuspects::Parts& aParts) const
  {
    return std::find(aParts.begin(), aParts.end(), kBadPart) != aParts.end();
  }

  void Arrive(double aRate, bool aIsBad)
  {
    std::poisson_distribution<int> draw(aRate * std::chrono::duration<double>(kStep).count());
    for (int n = draw(mRandom); n > 0; --n) {
      const auto subject = aIsBad ? kBadPart : 100 + mRandom() % 60;
      Attempt run{ mRandom() % mInstances.size(), { kCommonPart, subject } };
      mInstances[run.mInstance]->OnRequest(run.mParts);
      run.mIsCounted = !aIsBad && mFifthCrash && mNow > *mFifthCrash + 2 * mDeployment.mStable;
      mSound += run.mIsCounted ? 1 : 0;
      Send(std::move(run));
    }
  }

  void Send(Attempt aRun)
  {
    auto& instance = *mInstances[aRun.mInstance];
    std::vector<std::size_t> up;
    for (std::size_t n = 0; n < mEndpoints.size(); ++n) {
      if (mEndpoints[n].mUpAt <= mNow) {
        up.push_back(n);
      }
    }
    if (up.empty() || instance.IsRefused(aRun.mParts, mNow)) {
      return;
    }
    instance.TakeTrial(aRun.mParts, mNow);
    if (IsBad(aRun.mParts) && mFifthCrash && mNow > *mFifthCrash + mDeployment.mStable) {
      ++mBadSendsAfterStable;
    }
    // Subjects prefer an endpoint, as by rendezvous hashing.
    const auto chosen =
      up[(aRun.mParts.back() * 31 + static_cast<std::size_t>(aRun.mNumber)) % up.size()];
    aRun.mBegin = mNow + milliseconds(40 + mRandom() % 200);
    mEndpoints[chosen].mRuns.push_back(std::move(aRun));
  }

  void Step(std::size_t aEndpoint)
  {
    auto& endpoint = mEndpoints[aEndpoint];
    if (endpoint.mDetectAt && *endpoint.mDetectAt <= mNow) {
      endpoint.mDetectAt.reset();
      const auto name =
        "e" + std::to_string(aEndpoint) + "~" + std::to_string(endpoint.mIncarnation - 1);
      for (const auto it : endpoint.mToDetect) {
        mInstances[it]->OnEndpointDown(name, mNow);
      }
    }
    const bool crashes =
      std::any_of(endpoint.mRuns.begin(), endpoint.mRuns.end(), [&](const Attempt& aRun) {
        return IsBad(aRun.mParts) && mNow - aRun.mBegin >= kCrashDelay;
      });
    if (crashes) {
      Crash(aEndpoint);
      return;
    }
    for (auto& it : endpoint.mRuns) {
      if (it.mIsCounted && it.mNumber == 1 && it.mBegin <= mNow) {
        it.mIsCounted = false;
        ++mSoundBegun;
      }
      if (!it.mHasProof && mNow - it.mBegin >= PromptPartSuspects::kProofTime) {
        it.mHasProof = true;
        mInstances[it.mInstance]->OnProof(it.mParts, mNow);
      }
    }
    std::erase_if(endpoint.mRuns, [&](const Attempt& aRun) {
      const bool isDone = mNow - aRun.mBegin >= kRunTime;
      if (isDone) {
        mInstances[aRun.mInstance]->OnAnswered(aRun.mParts, NameOf(aEndpoint), mNow);
      }
      return isDone;
    });
  }

  void Crash(std::size_t aEndpoint)
  {
    auto& endpoint = mEndpoints[aEndpoint];
    const auto name = NameOf(aEndpoint);
    if (++mCrashes == 5) {
      mFifthCrash = mNow;
    }
    const auto runs = std::exchange(endpoint.mRuns, {});
    ++endpoint.mIncarnation;
    endpoint.mUpAt = mNow + kRestartTime;
    endpoint.mDetectAt = mNow + milliseconds(100 + mRandom() % 300);
    endpoint.mToDetect.clear();
    for (auto run : runs) {
      if (mNow - run.mBegin < PromptPartSuspects::kProofTime) {
        mInstances[run.mInstance]->OnEndedEarly(run.mParts, name, mNow);
        endpoint.mToDetect.push_back(run.mInstance);
      }
      if (++run.mNumber <= kMaxAttempts) {
        Send(std::move(run));
      }
    }
  }

  void Control()
  {
    if (mNow.time_since_epoch() % kPruneInterval == std::chrono::nanoseconds(0)) {
      for (const auto& it : mInstances) {
        it->Prune(mNow);
      }
    }
    mExchangesDue += static_cast<double>(mInstances.size()) *
                     (std::chrono::duration<double>(kStep) / kExchangeInterval);
    for (; mExchangesDue >= 1; mExchangesDue -= 1) {
      auto& caller = *mInstances[mRandom() % mInstances.size()];
      auto& callee = *mInstances[mRandom() % mInstances.size()];
      const auto question = caller.Recent(mNow);
      const auto reply = callee.Recent(mNow);
      callee.OnReport(question, mNow);
      caller.OnReport(reply, mNow);
    }
  }

  Deployment mDeployment;
  std::mt19937 mRandom;
  std::vector<std::unique_ptr<PromptPartSuspects>> mInstances;
  std::vector<Endpoint> mEndpoints;
  TimePoint mNow{ std::chrono::hours(1) };
  std::optional<TimePoint> mFifthCrash;
  double mExchangesDue = 0;
};

} // namespace

TEST_CASE("prompt parts: one that crashes endpoints is refused in time, sound requests are served")
{
  const auto deployment = GENERATE(Deployment{ 9, 9, 80, 3, milliseconds(3000) },
                                   Deployment{ 71, 40, 300, 6, milliseconds(3000) },
                                   Deployment{ 295, 153, 900, 12, milliseconds(5000) });
  const int seeds = deployment.mInstances > 100 ? 2 : 10;
  for (int seed = 1; seed <= seeds; ++seed) {
    CAPTURE(deployment.mInstances, seed);
    CrashingFleet fleet(deployment, static_cast<std::uint32_t>(seed));
    fleet.Run(milliseconds(8000), false);
    fleet.Run(milliseconds(15000), true);
    fleet.Restart(0);
    fleet.Run(milliseconds(45000), true);
    CHECK(fleet.mBadSendsAfterStable <= 3);
    CHECK(fleet.mSound >= 20);
    CHECK(fleet.mSoundBegun * 2 >= fleet.mSound);
    INFO(fleet.mCrashes);
    CHECK(fleet.mCrashes >= 3);
  }
}

TEST_CASE("prompt parts: endpoints that crash for another reason get no part refused")
{
  PromptPartSuspects suspects;
  auto now = TimePoint{} + std::chrono::hours(1);
  const PromptPartSuspects::Parts parts{ kCommonPart, 100 };
  SECTION("all at once")
  {
    for (int n = 0; n < 6; ++n) {
      const auto endpoint = "e" + std::to_string(n) + "~1";
      suspects.OnEndedEarly(parts, endpoint, now);
      suspects.OnEndpointDown(endpoint, now + milliseconds(100));
    }
  }
  SECTION("in turn, while others answer")
  {
    for (int n = 0; n < 6; ++n) {
      const auto endpoint = "e" + std::to_string(n) + "~1";
      suspects.OnEndedEarly(parts, endpoint, now);
      suspects.OnEndpointDown(endpoint, now + milliseconds(100));
      suspects.OnAnswered({ kCommonPart, 101 }, "e9~1", now);
      suspects.OnAnswered({ 8, 100 }, "e9~1", now);
      now += milliseconds(1500);
      suspects.Prune(now);
    }
  }
  suspects.Prune(now);
  CHECK_FALSE(suspects.IsRefused(parts, now));
}

TEST_CASE("prompt parts: a refused part is tried again by one instance, and cleared by an answer")
{
  const std::vector<InstanceId> names{ InstanceId("a"), InstanceId("b"), InstanceId("c") };
  std::vector<PromptPartSuspects> instances(3);
  auto now = TimePoint{} + std::chrono::hours(1);
  const PromptPartSuspects::Parts parts{ kCommonPart, kBadPart };
  for (std::size_t n = 0; n < 3; ++n) {
    auto others = names;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(n));
    instances[n].SetInstances(names[n], others);
  }
  for (int n = 0; n < 3; ++n) {
    const auto endpoint = "e" + std::to_string(n) + "~1";
    instances[0].OnEndedEarly({ kBadPart }, endpoint, now);
    instances[0].OnEndpointDown(endpoint, now);
    now += milliseconds(500);
  }
  const auto refusing = [&] {
    return std::count_if(instances.begin(), instances.end(), [&](const auto& aInstance) {
      return aInstance.IsRefused(parts, now);
    });
  };
  for (auto& it : instances) {
    it.OnReport(instances[0].Recent(now), now);
  }
  CHECK(refusing() == 3);
  now += milliseconds(5000);
  CHECK(refusing() == 2);
  for (auto& it : instances) {
    if (!it.IsRefused(parts, now)) {
      it.TakeTrial(parts, now);
    }
  }
  CHECK(refusing() == 3);
  instances[1].OnProof(parts, now);
  for (auto& it : instances) {
    it.OnReport(instances[1].Recent(now), now);
  }
  CHECK(refusing() == 0);
}
