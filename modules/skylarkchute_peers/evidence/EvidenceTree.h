#pragma once

#include "EvidenceMessages.h"

#include <set>

namespace skylarkchute {

/** Calls, new evidence and log events that result from one event. */
struct EvidenceOutput
{
  std::vector<PeerCall> mCalls;
  /** Increments of the evidence of other instances since the last output. */
  std::vector<VersionEvidence> mFleetIncrements;
  std::vector<LogEvent> mEvents;
};

/** Aggregates evidence over the fleet in a two-level tree and distributes the totals to every
    instance.

    Versions are hashed into topics. Each instance reports to the topic's collector in its zone,
    which reports the sums of the zone to the topic's collector in the fleet; the totals are
    returned the same way. Counters are cumulative within a window and keyed by their source, so
    repeated, lost and reordered messages neither duplicate nor lose counts. After the loss of a
    collector the sources report the windows they keep to its successor. */
class EvidenceTree
{
public:
  struct Options
  {
    InstanceId mSelf;
    ZoneName mZone;
    std::uint32_t mTopicCount = 8;
    std::chrono::milliseconds mWindow{ 10000 }; /**< Length of a window. */
    std::uint64_t mWindowsKept = 6;             /**< Past windows kept besides the current one. */
    std::chrono::milliseconds mPeriod{ 5000 };  /**< Between two sends of an instance. */
    /** The same in fleets larger than mMaxMembersWithTeams. */
    std::chrono::milliseconds mLargeFleetPeriod{ 10000 };
    /** Rows of a failed call are sent again after this time. */
    std::chrono::milliseconds mRetryDelay{ 500 };
    std::chrono::milliseconds mCallTimeout{ 1000 };
    /** In larger fleets the counters of all teams are added up, which reduces the rows sent. */
    std::size_t mMaxMembersWithTeams = 40;
  };

  /** One live instance with its zone. */
  struct Member
  {
    InstanceId mId;
    ZoneName mZone;
  };

  explicit EvidenceTree(Options aOptions);

  /** Sets the live instances, including this one. */
  void SetMembers(const std::vector<Member>& aMembers);

  /** Adds the evidence that this instance has gathered since the last call. */
  void Add(const std::vector<VersionEvidence>& aEvidence, WallTime aWallNow);

  /** Sends pending rows once per period, and sooner after a failed call. */
  EvidenceOutput Tick(TimePoint aNow, WallTime aWallNow);

  /** Handles the message `evidence.up`. */
  EvidenceOutput OnEvidenceUp(const std::string& aParams);

  /** Handles the message `evidence.down`. */
  EvidenceOutput OnEvidenceDown(const std::string& aParams);

  /** Handles the outcome of a call. The rows of a failed call are sent again. */
  void OnReply(const PeerReply& aReply, TimePoint aNow);

  /** Returns the number of counter rows in memory. */
  std::size_t RowCount() const;

private:
  enum class Flow
  {
    InstanceRows,
    ZoneSums,
    FleetTotals,
    ForwardedTotals,
  };

  using KeySet = std::set<EvidenceKey>;
  template<typename Source>
  using SourceTable = std::map<EvidenceKey, std::map<Source, EvidenceCounts>>;

  struct SentRows
  {
    Flow mFlow = Flow::InstanceRows;
    InstanceId mTo;
    std::vector<EvidenceKey> mKeys;
  };

  /** Totals that have not been sent to one receiver yet. */
  struct PendingTotals
  {
    bool mForwardToZone = false;
    KeySet mKeys;
  };

  std::uint32_t TopicOf(const VersionId& aVersion) const;
  InstanceId ZoneCollector(const ZoneName& aZone, std::uint32_t aTopic) const;
  void MergeInstanceRows(const InstanceId& aFrom, const EvidenceTable& aRows);
  void MergeZoneSums(const ZoneName& aZone, const EvidenceTable& aRows);
  void MergeTotals(const EvidenceTable& aRows, bool aForwardToZone, EvidenceOutput& aOutput);
  void SendOwnRows(EvidenceOutput& aOutput);
  void SendZoneSums(EvidenceOutput& aOutput);
  void SendTotals(EvidenceOutput& aOutput);
  void ForwardTotals(EvidenceOutput& aOutput);
  void Send(Flow aFlow,
            const InstanceId& aTo,
            const char* aMethod,
            std::string aParams,
            const EvidenceTable& aRows,
            EvidenceOutput& aOutput);
  void EraseOldWindows(WallTime aWallNow);
  std::chrono::milliseconds Period() const;
  std::uint64_t WindowAt(WallTime aWallNow) const;

  Options mOptions;
  std::map<ZoneName, std::vector<InstanceId>> mZones;
  std::vector<InstanceId> mZoneCollectors;  /**< Collectors in this zone, by topic. */
  std::vector<InstanceId> mTopicCollectors; /**< Collectors in the fleet, by topic. */
  bool mSeparateTeams = true;

  EvidenceTable mOwnRows;
  SourceTable<InstanceId> mZoneRows; /**< Received as collector in this zone. */
  SourceTable<ZoneName> mTopicRows;  /**< Received as collector in the fleet. */
  EvidenceTable mTotals;             /**< Largest fleet totals received. */
  EvidenceTable mDelivered;          /**< Counts of other instances that were already output. */
  KeySet mOwnPending;
  KeySet mZonePending;
  KeySet mTotalsPending;
  KeySet mForwardPending;

  std::uint64_t mNextCall = 1;
  std::map<std::uint64_t, SentRows> mCallsInFlight;
  std::optional<TimePoint> mNextSend;
};

} // namespace skylarkchute
