#include "SimulatedPeerNetwork.h"

#include <catch2/catch.hpp>

#include <iomanip>
#include <iostream>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

/** The evidence trees of a simulated fleet. */
class EvidenceFleet
{
public:
  EvidenceFleet(std::size_t aCount, std::size_t aZones, std::uint32_t aSeed)
    : mNetwork(aCount, aSeed)
    , mZones(aZones)
    , mLearnt(aCount)
  {
    for (std::size_t n = 0; n < aCount; ++n) {
      EvidenceTree::Options options;
      options.mSelf = SimulatedPeerNetwork::IdOf(n);
      options.mZone = ZoneOf(n);
      mTrees.emplace_back(options);
    }
    UpdateMembers();
    mNetwork.mServe = [this](std::size_t aTo, const PeerCall& aCall) {
      const bool up = aCall.mMethod == kEvidenceUpMethod;
      Apply(aTo,
            up ? mTrees[aTo].OnEvidenceUp(aCall.mParams)
               : mTrees[aTo].OnEvidenceDown(aCall.mParams));
      return std::string("{}");
    };
    mNetwork.mReply = [this](std::size_t aFrom, const PeerCall&, const PeerReply& aReply) {
      mTrees[aFrom].OnReply(aReply, mNetwork.mClock.Now());
    };
  }

  void UpdateMembers()
  {
    std::vector<EvidenceTree::Member> members;
    for (std::size_t n = 0; n < mTrees.size(); ++n) {
      if (mNetwork.mDown.count(n) == 0) {
        members.push_back({ SimulatedPeerNetwork::IdOf(n), ZoneOf(n) });
      }
    }
    for (auto& it : mTrees) {
      it.SetMembers(members);
    }
  }

  void Add(std::size_t aIndex, const std::string& aVersion, std::uint64_t aRequests)
  {
    VersionEvidence evidence;
    evidence.mVersion = VersionId(aVersion);
    evidence.mClass = ClassName("chat");
    evidence.mTeam = TeamName("town");
    evidence.mRequests = aRequests;
    evidence.mErrors = aRequests / 10;
    mTrees[aIndex].Add({ evidence }, mNetwork.mClock.WallNow());
    mAddedRequests[aVersion] += aRequests;
    mOwnRequests[{ aIndex, aVersion }] += aRequests;
  }

  void Run(std::chrono::milliseconds aTime, std::chrono::milliseconds aStep = 10ms)
  {
    for (auto n = 0ms; n < aTime; n += aStep) {
      mNetwork.Advance(aStep);
      for (std::size_t it = 0; it < mTrees.size(); ++it) {
        if (mNetwork.mDown.count(it) == 0) {
          Apply(it, mTrees[it].Tick(mNetwork.mClock.Now(), mNetwork.mClock.WallNow()));
        }
      }
    }
  }

  /** Returns the requests that an instance counted itself or received from others. */
  std::uint64_t KnownRequests(std::size_t aIndex, const std::string& aVersion)
  {
    return mLearnt[aIndex][aVersion] + mOwnRequests[{ aIndex, aVersion }];
  }

  InstanceId ZoneCollectorOf(std::size_t aIndex, const std::string& aVersion) const
  {
    std::vector<InstanceId> zone;
    for (std::size_t n = 0; n < mTrees.size(); ++n) {
      if (ZoneOf(n) == ZoneOf(aIndex)) {
        zone.push_back(SimulatedPeerNetwork::IdOf(n));
      }
    }
    const auto topic = StableHash(aVersion) % EvidenceTree::Options().mTopicCount;
    const auto key = "evidence/" + ZoneOf(aIndex).Value() + "/" + std::to_string(topic);
    return RendezvousOrder(key, zone, 1).front();
  }

  ZoneName ZoneOf(std::size_t aIndex) const
  {
    return ZoneName("zone-" + std::to_string(aIndex % mZones));
  }

  SimulatedPeerNetwork mNetwork;
  std::vector<EvidenceTree> mTrees;
  std::map<std::string, std::uint64_t> mAddedRequests;

private:
  struct OwnRequestsKey
  {
    std::size_t mIndex = 0;
    std::string mVersion;
    auto operator<=>(const OwnRequestsKey&) const = default;
  };

  void Apply(std::size_t aIndex, const EvidenceOutput& aOutput)
  {
    mNetwork.Send(aIndex, aOutput.mCalls);
    for (const auto& it : aOutput.mFleetIncrements) {
      mLearnt[aIndex][it.mVersion.Value()] += it.mRequests;
    }
  }

  std::size_t mZones;
  std::map<OwnRequestsKey, std::uint64_t> mOwnRequests;
  std::vector<std::map<std::string, std::uint64_t>> mLearnt;
};

} // namespace

TEST_CASE("every instance learns the exact fleet totals, in spite of lost messages")
{
  const auto loss = GENERATE(0U, 100U, 300U);
  EvidenceFleet fleet(12, 3, 5 + loss);
  fleet.mNetwork.mLossPermille = loss;
  for (int round = 0; round < 20; ++round) {
    for (std::size_t n = 0; n < 12; ++n) {
      fleet.Add(n, round % 2 == 0 ? "m/a" : "m/b", 10 + n);
    }
    fleet.Run(1000ms);
  }
  fleet.Run(35s);
  for (std::size_t n = 0; n < 12; ++n) {
    CHECK(fleet.KnownRequests(n, "m/a") == fleet.mAddedRequests["m/a"]);
    CHECK(fleet.KnownRequests(n, "m/b") == fleet.mAddedRequests["m/b"]);
  }
}

TEST_CASE("the death of a collector loses at most its own evidence and doubles nothing")
{
  for (std::uint32_t seed = 1; seed <= 100; ++seed) {
    INFO("seed " << seed);
    EvidenceFleet fleet(12, 3, seed);
    fleet.mNetwork.mLossPermille = 50;
    std::uint64_t ownOfDead = 0;
    const auto dead = SimulatedPeerNetwork::IndexOf(fleet.ZoneCollectorOf(seed % 12, "m/a"));
    for (int round = 0; round < 10; ++round) {
      for (std::size_t n = 0; n < 12; ++n) {
        if (fleet.mNetwork.mDown.count(n) != 0) {
          continue;
        }
        fleet.Add(n, "m/a", 10);
        ownOfDead += n == dead ? 10 : 0;
      }
      if (round == 5) {
        fleet.mNetwork.mDown.insert(dead);
      }
      if (round == 7) {
        fleet.UpdateMembers();
      }
      fleet.Run(std::chrono::milliseconds(500 + fleet.mNetwork.Draw(1500)));
    }
    fleet.Run(35s);
    for (std::size_t n = 0; n < 12; ++n) {
      if (n == dead) {
        continue;
      }
      REQUIRE(fleet.KnownRequests(n, "m/a") <= fleet.mAddedRequests["m/a"]);
      REQUIRE(fleet.KnownRequests(n, "m/a") + ownOfDead >= fleet.mAddedRequests["m/a"]);
    }
  }
}

TEST_CASE("the memory of the tree is bounded by the windows kept")
{
  EvidenceFleet fleet(6, 2, 3);
  std::size_t largest = 0;
  for (int round = 0; round < 60; ++round) {
    for (std::size_t n = 0; n < 6; ++n) {
      fleet.Add(n, "m/a", 1);
    }
    fleet.Run(10s, 100ms);
    largest = std::max(largest, fleet.mTrees[0].RowCount());
  }
  // Per window: one row each in the own, total and delivered tables, one for each of 6 source
  // instances and one for each of 2 zones. Eight windows are allowed.
  CHECK(largest <= 8 * (3 + 6 + 2));
}

TEST_CASE("evidence traffic by fleet size", "[.measure]")
{
  std::cout << "instances  msgs/s mean  max  bytes/s mean  max   (19 versions, 4 classes, 2 teams, "
               "payload only)\n";
  for (const std::size_t count : { 9, 40, 160, 320 }) {
    EvidenceFleet fleet(count, count >= 40 ? 11 : 3, 1);
    const auto addRows = [&] {
      std::vector<VersionEvidence> rows;
      for (int version = 0; version < 19; ++version) {
        for (int kind = 0; kind < 8; ++kind) {
          VersionEvidence row;
          row.mVersion = VersionId("model-" + std::to_string(version % 7) + "/version-" +
                                   std::to_string(version));
          row.mClass = ClassName("class-" + std::to_string(kind / 2));
          row.mTeam = TeamName("team-" + std::to_string(kind % 2));
          row.mRequests = 3;
          row.mLatencySum = 900ms;
          rows.push_back(row);
        }
      }
      for (auto& it : fleet.mTrees) {
        it.Add(rows, fleet.mNetwork.mClock.WallNow());
      }
    };
    constexpr int kSeconds = 60;
    for (int second = 0; second < kSeconds; ++second) {
      addRows();
      fleet.Run(1000ms, 50ms);
    }
    Traffic sum;
    Traffic busiest;
    for (const auto& it : fleet.mNetwork.mTraffic) {
      sum.mMessages += it.mMessages;
      sum.mBytes += it.mBytes;
      busiest.mMessages = std::max(busiest.mMessages, it.mMessages);
      busiest.mBytes = std::max(busiest.mBytes, it.mBytes);
    }
    std::cout << std::setw(9) << count << std::fixed << std::setprecision(1) << std::setw(13)
              << static_cast<double>(sum.mMessages) / static_cast<double>(count) / kSeconds
              << std::setw(6) << static_cast<double>(busiest.mMessages) / kSeconds << std::setw(14)
              << static_cast<double>(sum.mBytes) / static_cast<double>(count) / kSeconds
              << std::setw(8) << static_cast<double>(busiest.mBytes) / kSeconds << "\n";
  }
}
