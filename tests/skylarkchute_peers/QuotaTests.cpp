#include "SimulatedPeerNetwork.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

constexpr double kLimit = 1000;
/** Largest accepted ratio of the sum of shares in force to the limit. */
constexpr double kMaxSumRatio = 1.05;

/** The quota shares of one team in a simulated fleet. */
class QuotaFleet
{
public:
  QuotaFleet(std::size_t aCount, std::uint32_t aSeed)
    : mNetwork(aCount, aSeed)
    , mDemand(aCount, 1)
    , mShare(aCount, 0)
    , mSeen(aCount)
  {
    for (std::size_t n = 0; n < aCount; ++n) {
      Restart(n);
      mSeen[n] = n;
    }
    mNetwork.mServe = [this](std::size_t aTo, const PeerCall& aCall) {
      return mQuotas.at(aTo).OnReport(aCall.mParams, mNetwork.mClock.Now());
    };
    mNetwork.mReply = [this](std::size_t aFrom, const PeerCall&, const PeerReply& aReply) {
      if (mPartitioned.count(SimulatedPeerNetwork::IndexOf(aReply.mFrom)) != 0 ||
          mPartitioned.count(aFrom) != 0) {
        auto failed = aReply;
        failed.mOk = false;
        Apply(aFrom, mQuotas.at(aFrom).OnReply(failed, mNetwork.mClock.Now()));
        return;
      }
      Apply(aFrom, mQuotas.at(aFrom).OnReply(aReply, mNetwork.mClock.Now()));
    };
  }

  void Restart(std::size_t aIndex)
  {
    mQuotas.insert_or_assign(aIndex,
                             QuotaShares(SimulatedPeerNetwork::IdOf(aIndex), QuotaOptions()));
    mQuotas.at(aIndex).SetLimits({ { TeamName("town"), kLimit, kLimit * 100 } });
    UpdateMembers();
  }

  void UpdateMembers()
  {
    std::vector<InstanceId> members;
    for (const auto& it : mQuotas) {
      if (mNetwork.mDown.count(it.first) == 0) {
        members.push_back(SimulatedPeerNetwork::IdOf(it.first));
      }
    }
    for (auto& it : mQuotas) {
      it.second.SetMembers(members);
    }
  }

  void Run(std::chrono::milliseconds aTime)
  {
    for (auto n = 0ms; n < aTime; n += 20ms) {
      mNetwork.Advance(20ms);
      for (auto& it : mQuotas) {
        if (mNetwork.mDown.count(it.first) == 0) {
          const auto demand = mDemand[it.first];
          Apply(
            it.first,
            it.second.Tick({ { TeamName("town"), demand, demand * 100 } }, mNetwork.mClock.Now()));
        }
      }
      mMaxSum = std::max(mMaxSum, Sum());
    }
  }

  /** Returns the sum of the shares in force at running instances. */
  double Sum() const
  {
    double sum = 0;
    for (std::size_t n = 0; n < mShare.size(); ++n) {
      sum += mNetwork.mDown.count(n) == 0 ? mShare[n] : 0;
    }
    return sum;
  }

  std::size_t Collector() const
  {
    std::vector<InstanceId> members;
    for (const auto& it : mQuotas) {
      if (mNetwork.mDown.count(it.first) == 0) {
        members.push_back(SimulatedPeerNetwork::IdOf(it.first));
      }
    }
    return SimulatedPeerNetwork::IndexOf(RendezvousOrder("quota/town", members, 1).front());
  }

  SimulatedPeerNetwork mNetwork;
  std::vector<double> mDemand;
  std::vector<double> mShare;
  /** Calls from and to these instances are served, but their replies are lost. */
  std::set<std::size_t> mPartitioned;
  double mMaxSum = 0;

private:
  void Apply(std::size_t aIndex, const QuotaOutput& aOutput)
  {
    mNetwork.Send(aIndex, aOutput.mCalls);
    if (!aOutput.mShares.empty()) {
      mShare[aIndex] = aOutput.mShares.front().mRequestsPerSecond;
    }
  }

  std::map<std::size_t, QuotaShares> mQuotas;
  std::vector<std::size_t> mSeen;
};

} // namespace

TEST_CASE("Instances that start together have the whole limit to give within a second and a half")
{
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    QuotaFleet fleet(3, seed);
    fleet.Run(1500ms);
    CHECK(fleet.Sum() >= 0.95 * kLimit);
    CHECK(fleet.mMaxSum <= kMaxSumRatio * kLimit);
  }
}

TEST_CASE("shares follow demand and add up to the limit")
{
  QuotaFleet fleet(9, 1);
  fleet.mDemand[3] = 91;
  fleet.Run(30s);
  CHECK(fleet.mShare[3] > 0.7 * kLimit);
  CHECK(fleet.Sum() > 0.95 * kLimit);
  fleet.mDemand[3] = 1;
  fleet.mDemand[5] = 91;
  fleet.Run(20s);
  CHECK(fleet.mShare[5] > 0.7 * kLimit);
  CHECK(fleet.mMaxSum <= kMaxSumRatio * kLimit);
}

TEST_CASE("when all peers are silent every instance has the equal share in the end")
{
  QuotaFleet fleet(9, 2);
  fleet.mDemand[3] = 91;
  fleet.Run(20s);
  for (std::size_t n = 0; n < 9; ++n) {
    fleet.mPartitioned.insert(n);
  }
  fleet.Run(40s);
  const auto collector = fleet.Collector();
  for (std::size_t n = 0; n < 9; ++n) {
    if (n != collector) {
      CHECK(fleet.mShare[n] == Approx(kLimit / 9));
    }
  }
  CHECK(fleet.mMaxSum <= kMaxSumRatio * kLimit);
}

TEST_CASE("the sum of shares keeps its bound when instances die, return and fall silent")
{
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    QuotaFleet fleet(9, seed);
    fleet.mNetwork.mLossPermille = 100;
    fleet.Run(10s);
    for (int step = 0; step < 30; ++step) {
      fleet.mDemand[fleet.mNetwork.Draw(8)] = fleet.mNetwork.Draw(100);
      const auto index = fleet.mNetwork.Draw(4) == 0 ? fleet.Collector() : fleet.mNetwork.Draw(8);
      switch (fleet.mNetwork.Draw(5)) {
        case 0:
          if (fleet.mNetwork.mDown.size() < 4) {
            fleet.mNetwork.mDown.insert(index);
          }
          break;
        case 1:
          if (fleet.mNetwork.mDown.erase(index) != 0) {
            fleet.Restart(index);
          }
          break;
        case 2:
          fleet.UpdateMembers();
          break;
        case 3:
          fleet.mPartitioned.insert(index);
          break;
        case 4:
          fleet.mPartitioned.clear();
          break;
        default:
          break;
      }
      fleet.Run(std::chrono::milliseconds(500 + fleet.mNetwork.Draw(6000)));
      REQUIRE(fleet.mMaxSum <= kMaxSumRatio * kLimit);
    }
  }
}
