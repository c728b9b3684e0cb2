#include "Schedule.h"

#include <algorithm>
#include <map>
#include <ostream>
#include <random>

namespace skylarkchute::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLeadIn{ 3000 };
constexpr milliseconds kStorm{ 10000 };
constexpr milliseconds kPlannedWork{ 9000 };
constexpr milliseconds kCrashes{ 9000 };

/** Time without a fault before planned work, so that all counts as calm again. */
constexpr milliseconds kPause{ 5000 };

/** Time without a fault at the end, to see the recovery. */
constexpr milliseconds kRecovery{ 15000 };

constexpr milliseconds kOrderPause{ 800 };
constexpr milliseconds kCuts{ 1600 };
constexpr milliseconds kKindBusy{ 1300 };

/** Target of StoreKindBusy that stands for the kind `rollouts`. */
constexpr std::uint32_t kRolloutsTarget = 0;
constexpr std::uint32_t kOrderEndpoint = 3;

/** Six endpoints, each alone or with its service. */
constexpr std::uint32_t kEndpointTargets = 12;

const std::vector<FaultKind> kUnplanned{
  FaultKind::RelayPaused,       FaultKind::RelayKilled,      FaultKind::RelayStopped,
  FaultKind::RelayReloaded,     FaultKind::EndpointSilent,   FaultKind::EndpointSlow,
  FaultKind::EndpointFailing,   FaultKind::EndpointBreaking, FaultKind::EndpointKilled,
  FaultKind::EndpointLeaving,   FaultKind::EndpointLimited,  FaultKind::EndpointPausing,
  FaultKind::EndpointDeparting, FaultKind::StoreSilent,      FaultKind::StoreBusy,
  FaultKind::StoreSlow,         FaultKind::StoreForgetting,  FaultKind::StoreRestored,
  FaultKind::Configured,        FaultKind::RelaysKilled,     FaultKind::EndpointUnregistering,
  FaultKind::StoreCutting,      FaultKind::StoreKindBusy,    FaultKind::TeamsRemoved,
  FaultKind::StoreLosing,       FaultKind::EndpointIll,      FaultKind::StoreRejecting,
  FaultKind::StoreRationing,
};

const std::vector<FaultKind> kPlanned{
  FaultKind::RelayStopped,    FaultKind::RelayStopped,          FaultKind::RelayReloaded,
  FaultKind::EndpointLeaving, FaultKind::EndpointSilent,        FaultKind::Configured,
  FaultKind::StoreCutting,    FaultKind::EndpointUnregistering,
};

class ScheduleBuilder
{
public:
  ScheduleBuilder(std::uint64_t aSeed, std::uint32_t aRelays) : mRandom(aSeed), mRelays(aRelays) {}

  void AddSeries(const std::vector<FaultKind>& aKinds, milliseconds aBegin, milliseconds aEnd)
  {
    for (auto at = aBegin + Between(100, 900); at < aEnd; at += Between(250, 1100)) {
      const auto kind = aKinds[mRandom() % aKinds.size()];
      const auto duration = std::min(Between(300, 3500), aEnd - at);
      const auto target = static_cast<std::uint32_t>(mRandom() % (kEndpointTargets * mRelays));
      mFaults.push_back({ at, duration, kind, target });
    }
  }

  void AddRollout(milliseconds aAt)
  {
    const auto target = static_cast<std::uint32_t>(mRandom() % kEndpointTargets);
    mFaults.push_back({ aAt, milliseconds(0), FaultKind::RolledOut, target });
  }

  /** In a third of the cases kills all relays soon after a rollout was ordered, and lets them learn
      of the endpoints before the order. */
  void AddKillInRollout(milliseconds aOrdered)
  {
    const auto at = aOrdered + Between(500, 2500);
    if (mRandom() % 3 == 0) {
      mFaults.push_back({ at, milliseconds(0), FaultKind::RelaysKilled, 0 });
      mFaults.push_back({ at, kKindBusy, FaultKind::StoreKindBusy, kRolloutsTarget });
    }
  }

  /** Lets an endpoint leave while the store cuts off watches. */
  void AddRemovalWhileCut(milliseconds aAt)
  {
    const auto target = static_cast<std::uint32_t>(mRandom() % kEndpointTargets);
    mFaults.push_back({ aAt, kCuts, FaultKind::StoreCutting, 0 });
    mFaults.push_back(
      { aAt + kCuts / 4, milliseconds(0), FaultKind::EndpointUnregistering, target });
  }

  /** Lets the endpoints of orders refuse, so that there are refusals to check. */
  void AddPause(milliseconds aAt)
  {
    mFaults.push_back({ aAt, kOrderPause, FaultKind::EndpointPausing, kOrderEndpoint });
  }

  void AddCrashes(milliseconds aAt)
  {
    mFaults.push_back({ aAt, kCrashes, FaultKind::PartCrashing, 0 });
  }

  /** Returns the faults in order of their start. */
  std::vector<Fault> Finish()
  {
    std::stable_sort(mFaults.begin(), mFaults.end(), [](const Fault& aLeft, const Fault& aRight) {
      return aLeft.mAt < aRight.mAt;
    });
    return std::move(mFaults);
  }

private:
  milliseconds Between(int aLeast, int aMost)
  {
    return milliseconds(aLeast + static_cast<int>(mRandom() % (aMost - aLeast)));
  }

  std::mt19937_64 mRandom;
  std::uint32_t mRelays;
  std::vector<Fault> mFaults;
};

} // namespace

std::string FaultName(FaultKind aKind)
{
  static const std::map<FaultKind, std::string> names{
    { FaultKind::RelayPaused, "relay-paused" },
    { FaultKind::RelayKilled, "relay-killed" },
    { FaultKind::RelayStopped, "relay-stopped" },
    { FaultKind::RelayReloaded, "relay-reloaded" },
    { FaultKind::RelaysKilled, "relays-killed" },
    { FaultKind::EndpointSilent, "endpoint-silent" },
    { FaultKind::EndpointSlow, "endpoint-slow" },
    { FaultKind::EndpointFailing, "endpoint-failing" },
    { FaultKind::EndpointBreaking, "endpoint-breaking" },
    { FaultKind::EndpointKilled, "endpoint-killed" },
    { FaultKind::EndpointLeaving, "endpoint-leaving" },
    { FaultKind::EndpointUnregistering, "endpoint-unregistering" },
    { FaultKind::EndpointDeparting, "endpoint-departing" },
    { FaultKind::EndpointLimited, "endpoint-limited" },
    { FaultKind::EndpointPausing, "endpoint-pausing" },
    { FaultKind::EndpointIll, "endpoint-ill" },
    { FaultKind::PartCrashing, "part-crashing" },
    { FaultKind::StoreSilent, "store-silent" },
    { FaultKind::StoreBusy, "store-busy" },
    { FaultKind::StoreSlow, "store-slow" },
    { FaultKind::StoreForgetting, "store-forgetting" },
    { FaultKind::StoreCutting, "store-cutting" },
    { FaultKind::StoreKindBusy, "store-kind-busy" },
    { FaultKind::StoreLosing, "store-losing" },
    { FaultKind::StoreRejecting, "store-rejecting" },
    { FaultKind::StoreRationing, "store-rationing" },
    { FaultKind::StoreRestored, "store-restored" },
    { FaultKind::RolledOut, "rolled-out" },
    { FaultKind::Configured, "configured" },
    { FaultKind::TeamsRemoved, "teams-removed" },
  };
  return names.at(aKind);
}

std::vector<Fault> MakeSchedule(std::uint64_t aSeed,
                                std::chrono::seconds aLength,
                                std::uint32_t aRelays)
{
  ScheduleBuilder builder(aSeed, aRelays);
  const milliseconds end = milliseconds(aLength) - kRecovery;
  auto at = kLeadIn;
  while (at < end) {
    builder.AddPause(at);
    builder.AddSeries(kUnplanned, at, std::min(at + kStorm, end));
    at += kStorm + kPause;
    if (at + kPlannedWork <= end) {
      builder.AddRollout(at);
      builder.AddKillInRollout(at);
    }
    builder.AddSeries(kPlanned, at, std::min(at + kPlannedWork, end));
    at += kPlannedWork;
    if (at + kCrashes <= end) {
      builder.AddRemovalWhileCut(at);
      builder.AddCrashes(at);
    }
    at += kCrashes + kPause;
  }
  return builder.Finish();
}

void PrintSchedule(std::ostream& aOut, const std::vector<Fault>& aSchedule)
{
  for (const auto& it : aSchedule) {
    aOut << "  " << it.mAt.count() << " ms " << FaultName(it.mKind) << " target " << it.mTarget
         << " for " << it.mDuration.count() << " ms\n";
  }
}

} // namespace skylarkchute::soak
