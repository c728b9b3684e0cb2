#pragma once

#include "EvidenceMessages.h"

#include <set>

namespace skylarkchute {

/** What the tree wants done after an event. */
struct EvidenceOutput
{
  std::vector<PeerCall> mCalls;
  /** Newly learnt evidence of other instances, as increments. */
  std::vector<VersionEvidence> mFleet;
  std::vector<LogEvent> mEvents;
};

/** Gathers evidence over the fleet in a two-level tree and gives the totals back to every instance.

    Versions are hashed into topics. Each instance reports to the topic's collector in its zone,
    which reports the zone's sums to the topic's collector in the fleet; totals go back the same
    way. Counters are cumulative within a window and keyed by their source, so that repeated, lost
    and reordered messages neither double nor lose counts. After the loss of a collector the sources
    report their recent windows again to the next one. */
class EvidenceTree
{
public:
  struct Options
  {
    InstanceId mSelf;
    ZoneName mZone;
    std::uint32_t mTopics = 8;
    std::chrono::milliseconds mWindow{ 10000 };
    std::uint64_t mWindowsKept = 6;
    std::chrono::milliseconds mPeriod{ 5000 };
    /** Period of fleets larger than mMostMembersWithTeams. */
    std::chrono::milliseconds mLargeFleetPeriod{ 10000 };
    /** What did not arrive is sent again after this time. */
    std::chrono::milliseconds mRetry{ 500 };
    std::chrono::milliseconds mCallTimeout{ 1000 };
    /** In larger fleets the counters of all teams are added up before they are sent. */
    std::size_t mMostMembersWithTeams = 40;
  };

  /** One live instance with its zone. */
  struct Member
  {
    InstanceId mId;
    ZoneName mZone;
  };

  explicit EvidenceTree(Options aOptions);

  /** Takes in the live instances, this one among them. */
  void SetMembers(const std::vector<Member>& aMembers);

  /** Adds what this instance has seen since the last call. */
  void Add(const std::vector<VersionEvidence>& aEvidence, WallTime aWallNow);

  /** Sends what is due once a period. */
  EvidenceOutput Tick(TimePoint aNow, WallTime aWallNow);

  /** Takes in the message `evidence.up`. */
  EvidenceOutput OnUp(const std::string& aParams);

  /** Takes in the message `evidence.down`. */
  EvidenceOutput OnDown(const std::string& aParams);

  /** Takes in the outcome of a call: what did not arrive is sent again. */
  void OnReply(const PeerReply& aReply, TimePoint aNow);

  /** Returns the number of counter rows in memory. */
  std::size_t RowCount() const;

private:
  enum class Flow
  {
    OwnUp,
    ZoneUp,
    TotalDown,
    ZoneDown,
  };

  using KeySet = std::set<EvidenceKey>;
  template<typename Source>
  using SourceTable = std::map<EvidenceKey, std::map<Source, EvidenceCounts>>;

  struct SentRows
  {
    Flow mFlow = Flow::OwnUp;
    InstanceId mTo;
    std::vector<EvidenceKey> mKeys;
  };

  /** Totals that still have to go to one receiver. */
  struct Outbox
  {
    bool mPassOn = false;
    KeySet mKeys;
  };

  std::uint32_t TopicOf(const VersionId& aVersion) const;
  InstanceId ZoneCollector(const ZoneName& aZone, std::uint32_t aTopic) const;
  void TakeOwnUp(const InstanceId& aFrom, const EvidenceTable& aRows);
  void TakeZoneUp(const ZoneName& aZone, const EvidenceTable& aRows);
  void TakeTotals(const EvidenceTable& aRows, bool aPassOn, EvidenceOutput& aOutput);
  void SendOwn(EvidenceOutput& aOutput);
  void SendZone(EvidenceOutput& aOutput);
  void SendTotals(EvidenceOutput& aOutput);
  void SendDown(EvidenceOutput& aOutput);
  void Send(Flow aFlow,
            const InstanceId& aTo,
            const char* aMethod,
            std::string aParams,
            const EvidenceTable& aRows,
            EvidenceOutput& aOutput);
  void ForgetOld(WallTime aWallNow);
  std::chrono::milliseconds Period() const;
  std::uint64_t WindowAt(WallTime aWallNow) const;

  Options mOptions;
  std::map<ZoneName, std::vector<InstanceId>> mZones;
  std::vector<InstanceId> mZoneCollectors;  /**< Of this zone, by topic. */
  std::vector<InstanceId> mTopicCollectors; /**< By topic. */
  bool mWithTeams = true;

  EvidenceTable mOwn;
  SourceTable<InstanceId> mZoneRows; /**< As collector of this zone. */
  SourceTable<ZoneName> mTopicRows;  /**< As collector of a topic. */
  EvidenceTable mTotals;             /**< Fleet totals as received. */
  EvidenceTable mDelivered;          /**< Of other instances, already given to the router. */
  KeySet mOwnDue;
  KeySet mZoneDue;
  KeySet mTotalDue;
  KeySet mDownDue;

  std::uint64_t mNextCall = 1;
  std::map<std::uint64_t, SentRows> mSent;
  std::optional<TimePoint> mNextSend;
};

} // namespace skylarkchute
