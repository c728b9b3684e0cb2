#include "PeerNet.h"

#include <catch2/catch.hpp>

#include <iomanip>
#include <iostream>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

/** Evidence trees of a whole fleet. */
class EvidenceFleet
{
public:
  EvidenceFleet(std::size_t aCount, std::size_t aZones, std::uint32_t aSeed)
    : mNet(aCount, aSeed)
    , mZones(aZones)
    , mFleet(aCount)
  {
    for (std::size_t n = 0; n < aCount; ++n) {
      EvidenceTree::Options options;
      options.mSelf = PeerNet::NameOf(n);
      options.mZone = ZoneOf(n);
      mTrees.emplace_back(options);
    }
    UpdateMembers();
    mNet.mServe = [this](std::size_t aTo, const PeerCall& aCall) {
      const bool up = aCall.mMethod == kEvidenceUpMethod;
      Take(aTo, up ? mTrees[aTo].OnUp(aCall.mParams) : mTrees[aTo].OnDown(aCall.mParams));
      return std::string("{}");
    };
    mNet.mReply = [this](std::size_t aFrom, const PeerCall&, const PeerReply& aReply) {
      mTrees[aFrom].OnReply(aReply, mNet.mClock.Now());
    };
  }

  void UpdateMembers()
  {
    std::vector<EvidenceTree::Member> members;
    for (std::size_t n = 0; n < mTrees.size(); ++n) {
      if (mNet.mDown.count(n) == 0) {
        members.push_back({ PeerNet::NameOf(n), ZoneOf(n) });
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
    mTrees[aIndex].Add({ evidence }, mNet.mClock.WallNow());
    mAdded[aVersion] += aRequests;
    mOwn[{ aIndex, aVersion }] += aRequests;
  }

  void Run(std::chrono::milliseconds aTime, std::chrono::milliseconds aStep = 10ms)
  {
    for (auto n = 0ms; n < aTime; n += aStep) {
      mNet.Advance(aStep);
      for (std::size_t it = 0; it < mTrees.size(); ++it) {
        if (mNet.mDown.count(it) == 0) {
          Take(it, mTrees[it].Tick(mNet.mClock.Now(), mNet.mClock.WallNow()));
        }
      }
    }
  }

  /** Returns what an instance learnt from others plus its own. */
  std::uint64_t Known(std::size_t aIndex, const std::string& aVersion)
  {
    return mFleet[aIndex][aVersion] + mOwn[{ aIndex, aVersion }];
  }

  InstanceId ZoneCollectorOf(std::size_t aIndex, const std::string& aVersion) const
  {
    std::vector<InstanceId> zone;
    for (std::size_t n = 0; n < mTrees.size(); ++n) {
      if (ZoneOf(n) == ZoneOf(aIndex)) {
        zone.push_back(PeerNet::NameOf(n));
      }
    }
    const auto topic = StableHash(aVersion) % EvidenceTree::Options().mTopics;
    const auto key = "evidence/" + ZoneOf(aIndex).Value() + "/" + std::to_string(topic);
    return RendezvousOrder(key, zone, 1).front();
  }

  ZoneName ZoneOf(std::size_t aIndex) const
  {
    return ZoneName("zone-" + std::to_string(aIndex % mZones));
  }

  PeerNet mNet;
  std::vector<EvidenceTree> mTrees;
  std::map<std::string, std::uint64_t> mAdded;

private:
  struct OwnKey
  {
    std::size_t mIndex = 0;
    std::string mVersion;
    auto operator<=>(const OwnKey&) const = default;
  };

  void Take(std::size_t aIndex, const EvidenceOutput& aOutput)
  {
    mNet.Send(aIndex, aOutput.mCalls);
    for (const auto& it : aOutput.mFleet) {
      mFleet[aIndex][it.mVersion.Value()] += it.mRequests;
    }
  }

  std::size_t mZones;
  std::map<OwnKey, std::uint64_t> mOwn;
  std::vector<std::map<std::string, std::uint64_t>> mFleet;
};

} // namespace

TEST_CASE("every instance learns the exact fleet totals, in spite of lost messages")
{
  const auto loss = GENERATE(0U, 100U, 300U);
  EvidenceFleet fleet(12, 3, 5 + loss);
  fleet.mNet.mLossPermille = loss;
  for (int round = 0; round < 20; ++round) {
    for (std::size_t n = 0; n < 12; ++n) {
      fleet.Add(n, round % 2 == 0 ? "m/a" : "m/b", 10 + n);
    }
    fleet.Run(1000ms);
  }
  fleet.Run(35s);
  for (std::size_t n = 0; n < 12; ++n) {
    CHECK(fleet.Known(n, "m/a") == fleet.mAdded["m/a"]);
    CHECK(fleet.Known(n, "m/b") == fleet.mAdded["m/b"]);
  }
}

TEST_CASE("the death of a collector loses at most its own evidence and doubles nothing")
{
  for (std::uint32_t seed = 1; seed <= 100; ++seed) {
    INFO("seed " << seed);
    EvidenceFleet fleet(12, 3, seed);
    fleet.mNet.mLossPermille = 50;
    std::uint64_t ofDead = 0;
    const auto dead = PeerNet::IndexOf(fleet.ZoneCollectorOf(seed % 12, "m/a"));
    for (int round = 0; round < 10; ++round) {
      for (std::size_t n = 0; n < 12; ++n) {
        if (fleet.mNet.mDown.count(n) != 0) {
          continue;
        }
        fleet.Add(n, "m/a", 10);
        ofDead += n == dead ? 10 : 0;
      }
      if (round == 5) {
        fleet.mNet.mDown.insert(dead);
      }
      if (round == 7) {
        fleet.UpdateMembers();
      }
      fleet.Run(std::chrono::milliseconds(500 + fleet.mNet.Draw(1500)));
    }
    fleet.Run(35s);
    for (std::size_t n = 0; n < 12; ++n) {
      if (n == dead) {
        continue;
      }
      REQUIRE(fleet.Known(n, "m/a") <= fleet.mAdded["m/a"]);
      REQUIRE(fleet.Known(n, "m/a") + ofDead >= fleet.mAdded["m/a"]);
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
  // Own, totals and delivered rows, and those of six sources and two zones, for eight windows.
  CHECK(largest <= 8 * (3 + 6 + 2));
}

TEST_CASE("evidence traffic by fleet size", "[.measure]")
{
  std::cout << "instances  msgs/s mean  max  bytes/s mean  max   (19 versions, 4 classes, 2 teams, "
               "payload only)\n";
  for (const std::size_t count : { 9, 40, 160, 320 }) {
    EvidenceFleet fleet(count, count >= 40 ? 11 : 3, 1);
    const auto add = [&] {
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
        it.Add(rows, fleet.mNet.mClock.WallNow());
      }
    };
    constexpr int kSeconds = 60;
    for (int second = 0; second < kSeconds; ++second) {
      add();
      fleet.Run(1000ms, 50ms);
    }
    Traffic sum;
    Traffic most;
    for (const auto& it : fleet.mNet.mTraffic) {
      sum.mMessages += it.mMessages;
      sum.mBytes += it.mBytes;
      most.mMessages = std::max(most.mMessages, it.mMessages);
      most.mBytes = std::max(most.mBytes, it.mBytes);
    }
    std::cout << std::setw(9) << count << std::fixed << std::setprecision(1) << std::setw(13)
              << static_cast<double>(sum.mMessages) / static_cast<double>(count) / kSeconds
              << std::setw(6) << static_cast<double>(most.mMessages) / kSeconds << std::setw(14)
              << static_cast<double>(sum.mBytes) / static_cast<double>(count) / kSeconds
              << std::setw(8) << static_cast<double>(most.mBytes) / kSeconds << "\n";
  }
}
