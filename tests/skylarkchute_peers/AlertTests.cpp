#include "SimulatedPeerNetwork.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

RoutingAlert MakeAlert(const std::string& aVersion)
{
  RoutingAlert alert;
  alert.mVersion = VersionId(aVersion);
  alert.mReason = "errors";
  return alert;
}

/** The AlertGossip objects of a simulated fleet. */
class AlertFleet
{
public:
  AlertFleet(std::size_t aCount, std::uint32_t aSeed, std::uint32_t aLossPermille)
    : mNetwork(aCount, aSeed)
    , mReceivedCounts(aCount, 0)
  {
    mNetwork.mLossPermille = aLossPermille;
    std::vector<InstanceId> all;
    for (std::size_t n = 0; n < aCount; ++n) {
      AlertGossip::Options options;
      options.mSelf = SimulatedPeerNetwork::IdOf(n);
      options.mSeed = static_cast<std::uint32_t>(aSeed * 1000 + n);
      mGossips.emplace_back(options);
      all.push_back(SimulatedPeerNetwork::IdOf(n));
    }
    for (std::size_t n = 0; n < aCount; ++n) {
      auto peers = all;
      peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(n));
      mGossips[n].SetPeers(peers);
    }
    mNetwork.mServe = [this](std::size_t aTo, const PeerCall& aCall) {
      Apply(aTo, mGossips[aTo].OnAlertMessage(aCall.mParams, mNetwork.mClock.Now()));
      return std::string("{}");
    };
    mNetwork.mReply = [](std::size_t, const PeerCall&, const PeerReply&) {};
  }

  void Raise(std::size_t aIndex, const RoutingAlert& aAlert)
  {
    Apply(aIndex, mGossips[aIndex].Raise(aAlert, mNetwork.mClock.Now()));
  }

  void Run(std::chrono::milliseconds aTime)
  {
    for (auto n = 0ms; n < aTime; n += 10ms) {
      mNetwork.Advance(10ms);
      for (std::size_t it = 0; it < mGossips.size(); ++it) {
        Apply(it, mGossips[it].Tick(mNetwork.mClock.Now()));
      }
    }
  }

  std::size_t ReachedCount() const
  {
    return static_cast<std::size_t>(std::count_if(
      mReceivedCounts.begin(), mReceivedCounts.end(), [](int aCount) { return aCount > 0; }));
  }

  std::uint64_t MessageCount() const
  {
    std::uint64_t sum = 0;
    for (const auto& it : mNetwork.mTraffic) {
      sum += it.mMessages;
    }
    return sum;
  }

  SimulatedPeerNetwork mNetwork;
  std::vector<AlertGossip> mGossips;
  std::vector<int> mReceivedCounts;

private:
  void Apply(std::size_t aIndex, const AlertOutput& aOutput)
  {
    mNetwork.Send(aIndex, aOutput.mCalls);
    mReceivedCounts[aIndex] += static_cast<int>(aOutput.mAlerts.size());
  }
};

} // namespace

TEST_CASE("an alert reaches all 320 instances well within the fleet-wide stop, with losses")
{
  // The target for stopping a bad version fleet-wide is 5 s; this test allows alerts 2 s of it.
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    AlertFleet fleet(320, seed, 100);
    fleet.Raise(seed % 320, MakeAlert("m/bad"));
    fleet.Run(2000ms);
    REQUIRE(fleet.ReachedCount() == 319);
    for (const auto it : fleet.mReceivedCounts) {
      REQUIRE(it <= 1);
    }
  }
}

TEST_CASE("the same alert raised by every instance at once is not spread without bound")
{
  AlertFleet fleet(40, 1, 0);
  for (std::size_t n = 0; n < 40; ++n) {
    fleet.Raise(n, MakeAlert("m/bad"));
  }
  fleet.Run(3000ms);
  // A fanout of 3 in 6 rounds; request and reply are each counted at sender and receiver.
  CHECK(fleet.MessageCount() <= 40U * 3 * 6 * 4);
  for (const auto it : fleet.mReceivedCounts) {
    CHECK(it == 0);
  }
}

TEST_CASE("a further crash of the same fingerprint is a new alert")
{
  AlertFleet fleet(9, 1, 0);
  RoutingAlert alert;
  alert.mSuspect = Fingerprint("f");
  alert.mCrashCount = 1;
  fleet.Raise(0, alert);
  fleet.Run(1500ms);
  alert.mCrashCount = 2;
  fleet.Raise(1, alert);
  fleet.Run(1500ms);
  CHECK(fleet.mReceivedCounts[5] == 2);
}

TEST_CASE("alert convergence at 320 instances", "[.measure]")
{
  for (const std::uint32_t loss : { 0U, 50U, 200U, 400U }) {
    std::chrono::milliseconds slowest{ 0 };
    std::size_t missed = 0;
    std::uint64_t messages = 0;
    constexpr std::uint32_t kRuns = 50;
    for (std::uint32_t seed = 1; seed <= kRuns; ++seed) {
      AlertFleet fleet(320, seed, loss);
      fleet.Raise(seed, MakeAlert("m/bad"));
      auto time = 0ms;
      while (fleet.ReachedCount() < 319 && time < 3000ms) {
        fleet.Run(10ms);
        time += 10ms;
      }
      missed += 319 - fleet.ReachedCount();
      slowest = std::max(slowest, time);
      fleet.Run(2000ms);
      messages += fleet.MessageCount();
    }
    std::cout << "loss " << loss << " per mille: slowest " << slowest.count() << " ms, missed "
              << missed << " of " << 319 * kRuns << ", messages an instance "
              << messages / kRuns / 320 << "\n";
  }
}
