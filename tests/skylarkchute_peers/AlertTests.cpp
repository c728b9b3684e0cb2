#include "PeerNet.h"

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

/** Alert spreaders of a whole fleet. */
class AlertFleet
{
public:
  AlertFleet(std::size_t aCount, std::uint32_t aSeed, std::uint32_t aLossPermille)
    : mNet(aCount, aSeed)
    , mTaken(aCount, 0)
  {
    mNet.mLossPermille = aLossPermille;
    std::vector<InstanceId> all;
    for (std::size_t n = 0; n < aCount; ++n) {
      AlertSpreader::Options options;
      options.mSelf = PeerNet::NameOf(n);
      options.mSeed = static_cast<std::uint32_t>(aSeed * 1000 + n);
      mSpreaders.emplace_back(options);
      all.push_back(PeerNet::NameOf(n));
    }
    for (std::size_t n = 0; n < aCount; ++n) {
      auto peers = all;
      peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(n));
      mSpreaders[n].SetPeers(peers);
    }
    mNet.mServe = [this](std::size_t aTo, const PeerCall& aCall) {
      Take(aTo, mSpreaders[aTo].OnSpread(aCall.mParams, mNet.mClock.Now()));
      return std::string("{}");
    };
    mNet.mReply = [](std::size_t, const PeerCall&, const PeerReply&) {};
  }

  void Raise(std::size_t aIndex, const RoutingAlert& aAlert)
  {
    Take(aIndex, mSpreaders[aIndex].Raise(aAlert, mNet.mClock.Now()));
  }

  void Run(std::chrono::milliseconds aTime)
  {
    for (auto n = 0ms; n < aTime; n += 10ms) {
      mNet.Advance(10ms);
      for (std::size_t it = 0; it < mSpreaders.size(); ++it) {
        Take(it, mSpreaders[it].Tick(mNet.mClock.Now()));
      }
    }
  }

  std::size_t Reached() const
  {
    return static_cast<std::size_t>(
      std::count_if(mTaken.begin(), mTaken.end(), [](int aCount) { return aCount > 0; }));
  }

  std::uint64_t Messages() const
  {
    std::uint64_t sum = 0;
    for (const auto& it : mNet.mTraffic) {
      sum += it.mMessages;
    }
    return sum;
  }

  PeerNet mNet;
  std::vector<AlertSpreader> mSpreaders;
  std::vector<int> mTaken;

private:
  void Take(std::size_t aIndex, const AlertOutput& aOutput)
  {
    mNet.Send(aIndex, aOutput.mCalls);
    mTaken[aIndex] += static_cast<int>(aOutput.mAlerts.size());
  }
};

} // namespace

TEST_CASE("an alert reaches all 320 instances well within the fleet-wide stop, with losses")
{
  // The fleet-wide stop of a bad version has a target of 5 s.
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    AlertFleet fleet(320, seed, 100);
    fleet.Raise(seed % 320, MakeAlert("m/bad"));
    fleet.Run(2000ms);
    REQUIRE(fleet.Reached() == 319);
    for (const auto it : fleet.mTaken) {
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
  // Three peers in six rounds, a request and a reply each, counted at both ends.
  CHECK(fleet.Messages() <= 40U * 3 * 6 * 4);
  for (const auto it : fleet.mTaken) {
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
  CHECK(fleet.mTaken[5] == 2);
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
      while (fleet.Reached() < 319 && time < 3000ms) {
        fleet.Run(10ms);
        time += 10ms;
      }
      missed += 319 - fleet.Reached();
      slowest = std::max(slowest, time);
      fleet.Run(2000ms);
      messages += fleet.Messages();
    }
    std::cout << "loss " << loss << " per mille: slowest " << slowest.count() << " ms, missed "
              << missed << " of " << 319 * kRuns << ", messages an instance "
              << messages / kRuns / 320 << "\n";
  }
}
