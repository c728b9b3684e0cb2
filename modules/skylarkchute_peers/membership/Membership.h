#pragma once

#include "../PeerTypes.h"

#include <map>

namespace skylarkchute {

/** Which instances this one takes for live: the platform's lagging list, corrected by what this
    instance sees itself.

    There is no agreement between instances; whoever relies on a member must stay correct when
    views differ. */
class Membership
{
public:
  struct Options
  {
    PeerRecord mSelf;
    /** Failures in a row after which an instance is left out. */
    std::uint32_t mMostFailures = 2;
    /** Time left out after the first suspicion; doubles with each further one. */
    std::chrono::milliseconds mFirstHoldDown{ 2000 };
    std::chrono::milliseconds mLongestHoldDown{ 60000 };
    /** Success for this time makes an instance's hold-down start over. */
    std::chrono::milliseconds mStableAfter{ 120000 };
    /** An instance that was heard but is not listed counts as live for this time. */
    std::chrono::milliseconds mUnlistedFor{ 60000 };
  };

  explicit Membership(Options aOptions);

  /** Takes in the platform's list. */
  std::vector<LogEvent> ApplyList(const std::vector<PeerRecord>& aRecords, TimePoint aNow);

  /** Takes in a message of an instance, listed or not. */
  std::vector<LogEvent> Heard(const PeerRecord& aRecord, TimePoint aNow);

  /** Takes in the outcome of a call to a peer. */
  std::vector<LogEvent> Observe(const PeerReply& aReply, TimePoint aNow);

  /** Takes in the goodbye of a peer. */
  std::vector<LogEvent> SaidGoodbye(const InstanceId& aId, TimePoint aNow);

  /** Ends hold-downs and forgets unlisted instances. */
  std::vector<LogEvent> Tick(TimePoint aNow);

  /** Returns the live instances without this one, by id. */
  const std::vector<PeerRecord>& LivePeers() const { return mLivePeers; }

  /** Returns the ids of the live instances and of this one, sorted. */
  const std::vector<InstanceId>& LiveMembers() const { return mLiveMembers; }

  /** Returns a number that grows whenever the live instances change. */
  std::uint64_t Generation() const { return mGeneration; }

  /** Returns the record of a known instance, or null. */
  const PeerRecord* Find(const InstanceId& aId) const;

private:
  struct Peer
  {
    PeerRecord mRecord;
    bool mListed = false;
    TimePoint mUnlistedUntil;
    bool mGoodbye = false;
    std::uint32_t mFailures = 0;
    std::uint32_t mSuspicions = 0;
    bool mSuspected = false;
    bool mOnProbation = false; /**< Back after a hold-down, not yet confirmed by an answer. */
    TimePoint mHeldUntil;
    TimePoint mLastSuspicion;
    bool mWasLive = false;
  };

  bool IsLive(const Peer& aPeer, TimePoint aNow) const;
  void Succeeded(Peer& aPeer, TimePoint aNow) const;
  void Failed(Peer& aPeer, TimePoint aNow) const;
  std::vector<LogEvent> Refresh(TimePoint aNow);

  Options mOptions;
  std::map<InstanceId, Peer> mPeers;
  std::vector<PeerRecord> mLivePeers;
  std::vector<InstanceId> mLiveMembers;
  std::uint64_t mGeneration = 0;
};

} // namespace skylarkchute
