#include <catch2/catch.hpp>
#include <skylarkchute_routing/fleet/RolloutTracker.h>

#include <algorithm>
#include <memory>
#include <random>

using namespace skylarkchute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceName kService("svc");
constexpr RouteClass kClass{ 1 };
constexpr seconds kPeriod{ 24 };
constexpr milliseconds kSessionLifetime{ 8500 };

/** Regular calls between the instances while a rollout is running, as in the relay. */
constexpr milliseconds kExchangeInterval{ 400 };
constexpr int kCallsWhileRolling = 2;

/** The load of the large deployment's tagging requests on a quiet day with a good rollout: sessions
   of subjects that come in clumps, each request at any instance. */
constexpr int kSubjects = 3827;
constexpr int kRequestsPerSecond = 535;
constexpr int kClump = 3;
constexpr milliseconds kClumpSpread{ 3000 };

/** The instances of a fleet, each with its own tracker, which exchange their evidence. */
class RolloutFleet
{
public:
  RolloutFleet(std::size_t aInstances, std::uint32_t aSeed) : mRandom(aSeed)
  {
    for (std::size_t n = 0; n < aInstances; ++n) {
      mTrackers.push_back(std::make_unique<RolloutTracker>(
        IncarnationId("i" + std::to_string(n)), ExposureBound{ 0.0975, 30 }, kSessionLifetime));
      mTrackers.back()->SetInstances(aInstances);
    }
    for (auto* it : { &mOlder, &mNewer }) {
      it->mEntry.mService = kService;
      it->mEntry.mSlots = 12;
    }
    mOlder.mEntry.mId = EndpointId("older");
    mOlder.mEntry.mVersion = "v1";
    mNewer.mEntry.mId = EndpointId("newer");
    mNewer.mEntry.mVersion = "v2";
  }

  void Order()
  {
    RolloutOrder order;
    order.mService = kService;
    order.mTarget = "v2";
    order.mPeriod = kPeriod;
    order.mState = RolloutState::Running;
    order.mRevision = 5;
    for (const auto& it : mTrackers) {
      it->OnOrder(order, mNow, milliseconds(0));
    }
    mHasOrder = true;
  }

  /** Lets time pass with the load. */
  void Run(milliseconds aTime)
  {
    const auto end = mNow + aTime;
    while (mNow < end) {
      mNow += milliseconds(10);
      mDue += kRequestsPerSecond / 100.0 / kClump;
      for (; mDue >= 1; mDue -= 1) {
        const auto subject = static_cast<int>(mRandom() % kSubjects);
        for (int n = 0; n < kClump; ++n) {
          mPending.emplace_back(mNow + milliseconds(mRandom() % kClumpSpread.count()), subject);
        }
      }
      std::erase_if(mPending, [this](const auto& aRequest) {
        if (aRequest.first > mNow) {
          return false;
        }
        Send(aRequest.second);
        return true;
      });
      // The instances make their regular calls spread over the interval.
      mCallsDue += static_cast<double>(mTrackers.size()) * kCallsWhileRolling * 10.0 /
                   static_cast<double>(kExchangeInterval.count());
      for (; mHasOrder && mCallsDue >= 1; mCallsDue -= 1) {
        Exchange();
      }
    }
  }

  int mRequests = 0;
  int mToNewer = 0;
  int mMovedInSession = 0; /**< Requests on another version than the one before in their session. */

private:
  void Send(int aSubject)
  {
    auto& tracker = *mTrackers[mRandom() % mTrackers.size()];
    const auto key = "s" + std::to_string(aSubject);
    std::vector<FleetRow*> rows{ &mOlder, &mNewer };
    tracker.SelectVersion(kService, key, rows, mNow);
    REQUIRE_FALSE(rows.empty());
    const auto version = rows.front()->mEntry.mVersion;
    tracker.OnSent(kService, version, key, mNow);
    tracker.OnAnswer(kService, version, kClass, { 1, 0, 0 });
    auto& last = mLastUses[aSubject];
    mMovedInSession +=
      !last.first.empty() && last.first != version && mNow - last.second < kSessionLifetime ? 1 : 0;
    last = { version, mNow };
    ++mRequests;
    mToNewer += version == "v2" ? 1 : 0;
  }

  void Exchange()
  {
    auto& caller = *mTrackers[mRandom() % mTrackers.size()];
    auto& callee = *mTrackers[mRandom() % mTrackers.size()];
    for (const auto& it : caller.Evidence(mNow)) {
      callee.OnEvidence(it, mNow);
    }
    for (const auto& it : callee.Evidence(mNow)) {
      caller.OnEvidence(it, mNow);
    }
  }

  std::vector<std::unique_ptr<RolloutTracker>> mTrackers;
  FleetRow mOlder;
  FleetRow mNewer;
  std::vector<std::pair<TimePoint, int>> mPending;
  std::map<int, std::pair<std::string, TimePoint>> mLastUses;
  TimePoint mNow{ std::chrono::hours(1) };
  double mDue = 0;
  double mCallsDue = 0;
  bool mHasOrder = false;
  std::mt19937 mRandom;
};

} // namespace

TEST_CASE("rollout: sessions keep their version in its first half, whatever the size of the fleet")
{
  const auto size = GENERATE(std::size_t{ 9 }, std::size_t{ 71 }, std::size_t{ 295 });
  const auto seed = GENERATE(7U, 8U);
  RolloutFleet fleet(size, seed);
  fleet.Run(seconds(4));
  fleet.Order();
  fleet.Run(kPeriod / 2);
  INFO("requests " << fleet.mRequests << ", to the newer version " << fleet.mToNewer);
  CHECK(fleet.mMovedInSession <= 3);
  CHECK(fleet.mToNewer > 0);
}
