#pragma once

#include "../PeerTypes.h"

#include <map>

namespace skylarkchute {

/** The instances that this instance considers live: the platform's list, which lags, corrected by
    this instance's own observations.

    There is no consensus between instances, so their views can differ. Code that relies on the
    membership must stay correct when they do. */
class Membership
{
public:
  struct Options
  {
    PeerRecord mSelf;
    /** Consecutive failures after which an instance is suspected and excluded. */
    std::uint32_t mFailureThreshold = 2;
    /** How long an instance is excluded after its first suspicion; doubles with each further one,
        up to mMaxHoldDown. */
    std::chrono::milliseconds mInitialHoldDown{ 2000 };
    std::chrono::milliseconds mMaxHoldDown{ 60000 };
    /** An instance that answers this long after its last suspicion gets the initial hold-down
        again. */
    std::chrono::milliseconds mStableAfter{ 120000 };
    /** An instance that sends a message but is not listed counts as live for this time. */
    std::chrono::milliseconds mUnlistedLifetime{ 60000 };
  };

  explicit Membership(Options aOptions);

  /** Applies the platform's list of instances. @returns the events to log */
  std::vector<LogEvent> ApplyList(const std::vector<PeerRecord>& aRecords, TimePoint aNow);

  /** Records that a message of an instance was received, listed or not. @returns the events to log
   */
  std::vector<LogEvent> RecordMessage(const PeerRecord& aRecord, TimePoint aNow);

  /** Records the outcome of a call to a peer. @returns the events to log */
  std::vector<LogEvent> RecordReply(const PeerReply& aReply, TimePoint aNow);

  /** Records that a peer announced its shutdown with `peer.goodbye`. @returns the events to log */
  std::vector<LogEvent> RecordGoodbye(const InstanceId& aId, TimePoint aNow);

  /** Ends hold-downs that are over and removes unlisted instances that have expired.
      @returns the events to log */
  std::vector<LogEvent> Tick(TimePoint aNow);

  /** Returns the live instances without this one, sorted by id. */
  const std::vector<PeerRecord>& LivePeers() const { return mLivePeers; }

  /** Returns the ids of the live instances and of this one, sorted. */
  const std::vector<InstanceId>& LiveMembers() const { return mLiveMembers; }

  /** Returns a number that increases whenever the set of live instances changes. */
  std::uint64_t Generation() const { return mGeneration; }

  /** Returns the record of a known instance, or null. */
  const PeerRecord* Find(const InstanceId& aId) const;

private:
  struct Peer
  {
    PeerRecord mRecord;
    bool mListed = false;
    TimePoint mUnlistedExpiresAt;
    bool mGoodbye = false;
    std::uint32_t mFailures = 0;
    std::uint32_t mSuspicions = 0;
    bool mSuspected = false;
    bool mOnProbation = false; /**< Hold-down is over, but no call has succeeded since. */
    TimePoint mHoldDownUntil;
    TimePoint mLastSuspicion;
    bool mWasLive = false;
  };

  bool IsLive(const Peer& aPeer, TimePoint aNow) const;
  void RecordSuccess(Peer& aPeer, TimePoint aNow) const;
  void RecordFailure(Peer& aPeer, TimePoint aNow) const;
  std::vector<LogEvent> UpdateLiveMembers(TimePoint aNow);

  Options mOptions;
  std::map<InstanceId, Peer> mPeers;
  std::vector<PeerRecord> mLivePeers;
  std::vector<InstanceId> mLiveMembers;
  std::uint64_t mGeneration = 0;
};

} // namespace skylarkchute
