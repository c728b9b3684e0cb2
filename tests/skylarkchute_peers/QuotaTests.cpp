#include "PeerNet.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

constexpr double kLimit = 1000;
/** By how much the shares in force may exceed the limit. */
constexpr double kBound = 1.05;

/** Quota shares of a whole fleet, for one team. */
class QuotaFleet
{
public:
  QuotaFleet(std::size_t aCount, std::uint32_t aSeed)
    : mNet(aCount, aSeed)
    , mDemand(aCount, 1)
    , mShare(aCount, 0)
    , mSeen(aCount)
  {
    for (std::size_t n = 0; n < aCount; ++n) {
      Renew(n);
      mSeen[n] = n;
    }
    mNet.mServe = [this](std::size_t aTo, const PeerCall& aCall) {
      return mQuotas.at(aTo).OnReport(aCall.mParams, mNet.mClock.Now());
    };
    mNet.mReply = [this](std::size_t aFrom, const PeerCall&, const PeerReply& aReply) {
      if (mCut.count(PeerNet::IndexOf(aReply.mFrom)) != 0 || mCut.count(aFrom) != 0) {
        auto failed = aReply;
        failed.mOk = false;
        Take(aFrom, mQuotas.at(aFrom).OnReply(failed, mNet.mClock.Now()));
        return;
      }
      Take(aFrom, mQuotas.at(aFrom).OnReply(aReply, mNet.mClock.Now()));
    };
  }

  void Renew(std::size_t aIndex)
  {
    mQuotas.insert_or_assign(aIndex, QuotaShares(PeerNet::NameOf(aIndex), QuotaOptions()));
    mQuotas.at(aIndex).SetLimits({ { TeamName("town"), kLimit, kLimit * 100 } });
    UpdateMembers();
  }

  void UpdateMembers()
  {
    std::vector<InstanceId> members;
    for (const auto& it : mQuotas) {
      if (mNet.mDown.count(it.first) == 0) {
        members.push_back(PeerNet::NameOf(it.first));
      }
    }
    for (auto& it : mQuotas) {
      it.second.SetMembers(members);
    }
  }

  void Run(std::chrono::milliseconds aTime)
  {
    for (auto n = 0ms; n < aTime; n += 20ms) {
      mNet.Advance(20ms);
      for (auto& it : mQuotas) {
        if (mNet.mDown.count(it.first) == 0) {
          const auto demand = mDemand[it.first];
          Take(it.first,
               it.second.Tick({ { TeamName("town"), demand, demand * 100 } }, mNet.mClock.Now()));
        }
      }
      mHighest = std::max(mHighest, Sum());
    }
  }

  /** Returns the sum of the shares in force at instances that run. */
  double Sum() const
  {
    double sum = 0;
    for (std::size_t n = 0; n < mShare.size(); ++n) {
      sum += mNet.mDown.count(n) == 0 ? mShare[n] : 0;
    }
    return sum;
  }

  std::size_t Collector() const
  {
    std::vector<InstanceId> members;
    for (const auto& it : mQuotas) {
      if (mNet.mDown.count(it.first) == 0) {
        members.push_back(PeerNet::NameOf(it.first));
      }
    }
    return PeerNet::IndexOf(RendezvousOrder("quota/town", members, 1).front());
  }

  PeerNet mNet;
  std::vector<double> mDemand;
  std::vector<double> mShare;
  std::set<std::size_t> mCut; /**< Their replies and replies to them fail. */
  double mHighest = 0;

private:
  void Take(std::size_t aIndex, const QuotaOutput& aOutput)
  {
    mNet.Send(aIndex, aOutput.mCalls);
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
    CHECK(fleet.mHighest <= kBound * kLimit);
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
  CHECK(fleet.mHighest <= kBound * kLimit);
}

TEST_CASE("when all peers are silent every instance has the equal share in the end")
{
  QuotaFleet fleet(9, 2);
  fleet.mDemand[3] = 91;
  fleet.Run(20s);
  for (std::size_t n = 0; n < 9; ++n) {
    fleet.mCut.insert(n);
  }
  fleet.Run(40s);
  const auto collector = fleet.Collector();
  for (std::size_t n = 0; n < 9; ++n) {
    if (n != collector) {
      CHECK(fleet.mShare[n] == Approx(kLimit / 9));
    }
  }
  CHECK(fleet.mHighest <= kBound * kLimit);
}

TEST_CASE("the sum of shares keeps its bound when instances die, return and fall silent")
{
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    QuotaFleet fleet(9, seed);
    fleet.mNet.mLossPermille = 100;
    fleet.Run(10s);
    for (int step = 0; step < 30; ++step) {
      fleet.mDemand[fleet.mNet.Draw(8)] = fleet.mNet.Draw(100);
      const auto index = fleet.mNet.Draw(4) == 0 ? fleet.Collector() : fleet.mNet.Draw(8);
      switch (fleet.mNet.Draw(5)) {
        case 0:
          if (fleet.mNet.mDown.size() < 4) {
            fleet.mNet.mDown.insert(index);
          }
          break;
        case 1:
          if (fleet.mNet.mDown.erase(index) != 0) {
            fleet.Renew(index);
          }
          break;
        case 2:
          fleet.UpdateMembers();
          break;
        case 3:
          fleet.mCut.insert(index);
          break;
        case 4:
          fleet.mCut.clear();
          break;
        default:
          break;
      }
      fleet.Run(std::chrono::milliseconds(500 + fleet.mNet.Draw(6000)));
      REQUIRE(fleet.mHighest <= kBound * kLimit);
    }
  }
}
