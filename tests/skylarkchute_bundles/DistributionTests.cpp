#include "FollowerFleet.h"
#include "support/BundleTexts.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>

#include <cstdio>
#include <map>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

/** User requirement: every change is in force on all instances within 13 s. */
constexpr auto kInForceLimit = 13s;
/** Requirement of the first milestone: within 5 s at the current fleet size. */
constexpr auto kInForceLimitCurrentFleet = 5s;
/** The platform's limit on reads per second, for all purposes together. */
constexpr std::uint64_t kMaxPlatformReadsPerSecond = 2000;
/** Limit on the control traffic of one instance in bytes per second, for all purposes together. */
constexpr double kMaxControlBytesPerSecond = 2048;
constexpr double kChangesPerDay = 3500;
constexpr double kSecondsPerDay = 86400;
constexpr int kTeamCount = 40;

/** Returns a bundle with kTeamCount teams; the last one has the given concurrency. */
std::string LargeBundleText(int aConcurrency)
{
  auto text = SmallBundleText("large");
  for (int n = 0; n < kTeamCount; ++n) {
    const auto name = "team-" + std::to_string(n);
    text += "[team " + name + "]\nkeys = 00112233445566778899aabb:" + Sha256Hex(name) +
            "\nmodels = small, large\nrequests-per-second = 20\ntokens-per-second = 5000\n" +
            "concurrency = " + std::to_string(n + 1 == kTeamCount ? aConcurrency : 50) + "\n";
  }
  return text;
}

/** Time and traffic of distributing one change. */
struct ChangeCost
{
  std::chrono::milliseconds mTimeToInForce{ 0 };
  std::uint64_t mReads = 0;
  std::uint64_t mBytesRead = 0;
  std::uint64_t mPeerMessages = 0;
  std::uint64_t mPeerBytes = 0;
  std::uint64_t mPeakReads = 0; /**< Most reads within one second. */
};

/** Runs until the generation is in force on all instances or 60 s have passed, but at least for
    @p aMinTime. */
ChangeCost RunUntilInForce(FollowerFleet& aFleet,
                           Generation aGeneration,
                           std::chrono::milliseconds aMinTime)
{
  ChangeCost cost;
  aFleet.mStore.ResetCounts();
  const auto messages = aFleet.mPeerMessages;
  const auto bytes = aFleet.mPeerBytes;
  std::deque<std::uint64_t> lastSecond{ 0 };
  std::chrono::milliseconds passed{ 0 };
  bool everywhere = false;
  while (passed < aMinTime || (!everywhere && passed < 60s)) {
    aFleet.Run(FollowerFleet::kStep);
    passed += FollowerFleet::kStep;
    lastSecond.push_back(aFleet.mStore.Counts().mReads);
    cost.mPeakReads = std::max(cost.mPeakReads, lastSecond.back() - lastSecond.front());
    if (lastSecond.size() > static_cast<std::size_t>(1s / FollowerFleet::kStep)) {
      lastSecond.pop_front();
    }
    if (!everywhere && aFleet.CountAtGeneration(aGeneration) == aFleet.mNodes.size()) {
      everywhere = true;
      cost.mTimeToInForce = passed;
    }
  }
  cost.mReads = aFleet.mStore.Counts().mReads;
  cost.mBytesRead = aFleet.mStore.Counts().mBytesRead;
  cost.mPeerMessages = aFleet.mPeerMessages - messages;
  cost.mPeerBytes = aFleet.mPeerBytes - bytes;
  return cost;
}

void PrintCost(const char* aWhat, std::size_t aInstances, const ChangeCost& aCost)
{
  std::printf("%-22s %4zu instances: in force %5lld ms, %5llu reads (peak %4llu/s), %8llu bytes, "
              "%5llu peer messages, %8llu peer bytes\n",
              aWhat,
              aInstances,
              static_cast<long long>(aCost.mTimeToInForce.count()),
              static_cast<unsigned long long>(aCost.mReads),
              static_cast<unsigned long long>(aCost.mPeakReads),
              static_cast<unsigned long long>(aCost.mBytesRead),
              static_cast<unsigned long long>(aCost.mPeerMessages),
              static_cast<unsigned long long>(aCost.mPeerBytes));
}

/** Returns the bytes per second that one instance transfers at kChangesPerDay. */
double BytesPerSecond(const ChangeCost& aCost, std::size_t aInstances)
{
  const auto bytes = static_cast<double>(aCost.mBytesRead + aCost.mPeerBytes);
  return bytes / static_cast<double>(aInstances) * kChangesPerDay / kSecondsPerDay;
}

/** Returns whether an outdated instance can detect that it is outdated or partitioned: it reaches
    the store or an instance with a newer generation, or it reaches no instance of some zone. A
    bundle that no instance received before a store outage of the whole fleet is not detectable. */
bool CanDetectOutdated(const FollowerFleet& aFleet, std::size_t aNode)
{
  const auto& node = aFleet.mNodes[aNode];
  if (!node.mStoreUnreachable && !aFleet.mStore.IsInOutage()) {
    return true;
  }
  std::map<ZoneName, bool> reachable;
  for (std::size_t n = 0; n < aFleet.mNodes.size(); ++n) {
    const auto& other = aFleet.mNodes[n];
    if (n == aNode) {
      continue;
    }
    const auto reached = other.mRunning && !other.mPaused && !aFleet.mIsPartitioned(aNode, n);
    reachable[other.mZone] = reachable[other.mZone] || reached;
    if (reached && other.mFollower->CurrentGeneration() > node.mFollower->CurrentGeneration()) {
      return true;
    }
  }
  return std::any_of(
    reachable.begin(), reachable.end(), [](const auto& aEntry) { return !aEntry.second; });
}

struct FleetSize
{
  std::size_t mInstances;
  std::size_t mZones;
  std::chrono::milliseconds mBound;
};

} // namespace

TEST_CASE("a change of one team reaches the whole fleet within its bounds of time, calls and bytes")
{
  const auto size =
    GENERATE(FleetSize{ 9, 3, kInForceLimitCurrentFleet }, FleetSize{ 320, 11, kInForceLimit });
  FollowerFleet fleet(size.mInstances, size.mZones);
  PutInForce(fleet.mStore, LargeBundleText(50), 1);
  fleet.StartAll();
  const auto start = RunUntilInForce(fleet, 1, 10s);
  PrintCost("cold start", size.mInstances, start);
  const auto idle = RunUntilInForce(fleet, 1, 60s);
  PrintCost("one idle minute", size.mInstances, idle);
  PutInForce(fleet.mStore, LargeBundleText(51), 2);
  const auto change = RunUntilInForce(fleet, 2, 1s);
  PrintCost("change of one team", size.mInstances, change);
  std::printf("%-22s %4zu instances: %.0f bytes a second for each at %.0f changes a day\n",
              "",
              size.mInstances,
              BytesPerSecond(change, size.mInstances),
              kChangesPerDay);
  CHECK(start.mTimeToInForce <= size.mBound);
  CHECK(change.mTimeToInForce <= size.mBound);
  CHECK(start.mPeakReads <= kMaxPlatformReadsPerSecond);
  CHECK(change.mPeakReads <= kMaxPlatformReadsPerSecond);
  CHECK(BytesPerSecond(change, size.mInstances) <= kMaxControlBytesPerSecond);
  CHECK(fleet.CountNeedingConfirmation() == 0);
}

TEST_CASE("after an outage all instances come back within the platform's rate")
{
  FollowerFleet fleet(320, 11);
  PutInForce(fleet.mStore, LargeBundleText(50), 1);
  fleet.StartAll();
  fleet.Run(3s);
  fleet.mStore.SetOutage(true);
  fleet.Run(60s);
  CHECK(fleet.CountNeedingConfirmation() == 0);
  fleet.mStore.SetOutage(false);
  PutInForce(fleet.mStore, LargeBundleText(51), 2);
  const auto cost = RunUntilInForce(fleet, 2, 10s);
  PrintCost("after an outage", 320, cost);
  CHECK(cost.mTimeToInForce <= kInForceLimit);
  CHECK(cost.mPeakReads <= kMaxPlatformReadsPerSecond);
}

TEST_CASE("watches are not armed in step")
{
  FollowerFleet fleet(320, 11);
  PutInForce(fleet.mStore, SmallBundleText(), 1);
  fleet.StartAll();
  fleet.Run(60s);
  fleet.mStore.ResetCounts();
  std::uint64_t before = 0;
  std::uint64_t peak = 0;
  for (int n = 0; n < 60; ++n) {
    fleet.Run(100ms);
    peak = std::max(peak, fleet.mStore.Counts().mReads - before);
    before = fleet.mStore.Counts().mReads;
  }
  std::printf("watches of 320 instances in 6 s: %llu, at most %llu in 100 ms\n",
              static_cast<unsigned long long>(before),
              static_cast<unsigned long long>(peak));
  CHECK(peak < 320 / 8);
}

TEST_CASE("random faults never take a generation back or let an outdated one dispatch")
{
  constexpr auto kMaxOutdatedTime = 13s;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    boost::random::mt19937_64 random(seed);
    const auto draw = [&](int aMost) {
      return boost::random::uniform_int_distribution<int>(0, aMost)(random);
    };
    FollowerFleet fleet(6, 3, seed);
    Generation accepted = 1;
    PutInForce(fleet.mStore, SmallBundleText("1"), 1);
    fleet.StartAll();
    std::size_t partitionedZone = 3;
    fleet.mIsPartitioned = [&](std::size_t aFrom, std::size_t aTo) {
      return (aFrom % 3 == partitionedZone) != (aTo % 3 == partitionedZone);
    };
    fleet.mModifyAnswer = [&](PeerPartsAnswer& aAnswer) {
      if (!aAnswer.mParts.empty() && draw(9) == 0) {
        aAnswer.mParts[0].mText += "x";
      }
    };
    fleet.mStore.SetFaults([&](const ObjectCall&) {
      const auto n = draw(40);
      return n < 4 ? static_cast<StoreFault>(n) : StoreFault::None;
    });
    std::vector<TimePoint> undetectableUntil(6, fleet.mClock.Now());
    // When each generation, by index, was replaced; index 0 stands for no generation.
    std::vector<TimePoint> replacedAt{ fleet.mClock.Now() };
    for (int n = 0; n < 600; ++n) {
      const auto node = static_cast<std::size_t>(draw(5));
      switch (draw(60)) {
        case 0:
          fleet.Kill(node);
          break;
        case 1:
          fleet.Start(node);
          break;
        case 2:
          fleet.mNodes[node].mPaused = fleet.mNodes[node].mRunning;
          break;
        case 3:
        case 4:
          fleet.mNodes[node].mPaused = false;
          break;
        case 5:
          fleet.mStore.SetOutage(draw(1) == 0);
          break;
        case 6:
          partitionedZone = static_cast<std::size_t>(draw(6));
          break;
        case 7:
          for (std::size_t other = 0; other < 6; ++other) {
            // A partitioned zone that also cannot reach the store.
            fleet.mNodes[other].mStoreUnreachable = partitionedZone == other % 3 && draw(1) == 0;
          }
          break;
        case 8:
          if (!fleet.mStore.IsInOutage()) {
            ++accepted;
            PutInForce(fleet.mStore, SmallBundleText(std::to_string(accepted)), accepted);
            replacedAt.push_back(fleet.mClock.Now());
          }
          break;
        default:
          break;
      }
      fleet.Run(100ms);
      const auto now = fleet.mClock.Now();
      for (std::size_t other = 0; other < fleet.mNodes.size(); ++other) {
        const auto& it = fleet.mNodes[other];
        CHECK(std::is_sorted(it.mGenerations.begin(), it.mGenerations.end()));
        const auto outdated = it.mRunning && it.mFollower->CurrentGeneration() < accepted;
        if (!outdated || !CanDetectOutdated(fleet, other)) {
          undetectableUntil[other] = now;
          continue;
        }
        const auto replaced = replacedAt[it.mFollower->CurrentGeneration()];
        if (now - std::max(undetectableUntil[other], replaced) > kMaxOutdatedTime) {
          CHECK(it.mFollower->NeedsConfirmation(now));
        }
      }
    }
    fleet.mStore.SetFaults(nullptr);
    fleet.mStore.SetOutage(false);
    partitionedZone = 3;
    fleet.mModifyAnswer = nullptr;
    for (std::size_t n = 0; n < 6; ++n) {
      fleet.mNodes[n].mStoreUnreachable = false;
      fleet.mNodes[n].mPaused = false;
      if (!fleet.mNodes[n].mRunning) {
        fleet.Start(n);
      }
    }
    fleet.Run(30s);
    CHECK(fleet.CountAtGeneration(accepted) == 6);
    CHECK(fleet.CountNeedingConfirmation() == 0);
  }
}
