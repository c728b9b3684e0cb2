#pragma once

#include "GossipTypes.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace skylarkchute {

/** The members of a fleet and which of them are live, agreed on by gossip. Performs no I/O.

    Follows SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process
    Group Membership Protocol", 2002). Each member probes one other at each tick, in shuffled
   rounds, so the load and the time to detect a failure do not depend on the size of the fleet. A
   probe that fails is repeated through other members. If these fail too, the member is suspected;
   it is declared dead only when it has not refuted that within kSuspicionTimeout. Changes travel on
   the messages that are exchanged anyway. Views differ for a while; callers must stay correct when
   they do. */
class GossipMembership
{
public:
  /** Time between two calls of Tick. */
  static constexpr std::chrono::milliseconds kTickInterval{ 400 };

  /** Time for a direct probe and for the probes through other members. */
  static constexpr std::chrono::milliseconds kProbeTimeout{ 1600 };

  /** Time that a suspected member has to refute the suspicion. */
  static constexpr std::chrono::milliseconds kSuspicionTimeout{ 2500 };

  /** Dead members are probed now and then for this long, so that groups that were cut off from each
      other join again. */
  static constexpr std::chrono::minutes kReconnectPeriod{ 10 };

  /** For this long after the start, contacts that are not known to be members are called. */
  static constexpr std::chrono::seconds kContactPeriod{ 10 };

  /** @param aSeed  seed of the random order of probes */
  GossipMembership(MemberRecord aSelf, std::uint64_t aSeed);

  /** Adds a member that was not heard of yet, as listed by the store. Has no effect on one that is
      known under this address. */
  void Introduce(const MemberRecord& aRecord, TimePoint aNow);

  /** Sets the addresses, `IP:PORT`, to contact at the start and while no other member is known. */
  void SetContacts(std::vector<std::string> aAddresses);

  /** Returns the address to contact now, or nothing. Each contact is called at the start until it
     is known to be a member, so that groups that began at different ones join. */
  std::optional<std::string> ContactToCall(TimePoint aNow);

  /** Returns the member to probe now, or nothing when no other is known. */
  std::optional<std::string> Tick(TimePoint aNow);

  /** Records that a direct probe failed.
      @returns the members through which to probe it again */
  std::vector<std::string> OnProbeFailed(const std::string& aName);

  /** Records that another member has reached this one. */
  void OnReached(const std::string& aName, TimePoint aNow);

  /** Applies a message that came from a member itself. */
  void OnMessage(const MembershipMessage& aMessage, TimePoint aNow);

  /** Returns the message to send to a member with a call.
      @param aReceiver  empty when the receiver is not known by name */
  MembershipMessage RequestFor(const std::string& aReceiver, TimePoint aNow);

  /** Returns the message with which to answer a member's call. */
  MembershipMessage ResponseFor(const std::string& aReceiver, TimePoint aNow);

  /** Discards the probes in progress after this process was paused: that their answers are missing
      says nothing about the members. */
  void OnPause(TimePoint aNow);

  /** Sets and announces what this member does with the store. */
  void SetRole(StoreRole aRole);
  StoreRole Role() const { return mSelf.mRole; }

  /** Returns the other members that are alive or suspected, by name. The pointers are valid until
      this object next changes. */
  std::vector<const MemberUpdate*> LiveMembers() const;

  /** Returns the number of live members, this one included. */
  std::size_t LiveCount() const { return mLiveCount + 1; }

  /** Returns a member, or null when it is unknown. */
  const MemberUpdate* Find(const std::string& aName) const;

  /** Returns whether a member has been dead for at least @p aTime. */
  bool IsDeadFor(const std::string& aName, std::chrono::milliseconds aTime, TimePoint aNow) const;

  /** Returns the members that were declared dead, or were heard of for the first time or again,
      since the last call. */
  std::vector<MemberChange> TakeChanges();

private:
  struct Member
  {
    MemberUpdate mUpdate;
    TimePoint mChangedAt{};   /**< When its state last changed. */
    TimePoint mLastHeard{};   /**< Last message from it. */
    bool mMustRefute = false; /**< It has yet to learn what is said of it. */
    bool mWantsAll = false;   /**< It asked for all members. */
  };

  MembershipMessage MessageFor(const std::string& aReceiver, bool aListsAll, TimePoint aNow);
  void Apply(const MemberUpdate& aUpdate, TimePoint aNow);
  void RefuteIfNeeded(const MemberUpdate& aUpdate);
  void SetState(Member& aMember, MemberState aState, TimePoint aNow);
  void Enqueue(const std::string& aName) { mQueue[aName] = 0; }
  void ExpireProbes(TimePoint aNow);
  void ExpireSuspicions(TimePoint aNow);
  std::optional<std::string> NextInRound();
  std::optional<std::string> DeadToReconnect(TimePoint aNow);
  std::vector<MemberUpdate> QueuedUpdates();
  std::vector<MemberUpdate> AllUpdates(TimePoint aNow) const;
  std::uint64_t Digest() const;

  MemberUpdate mSelf;
  std::map<std::string, Member> mMembers;
  std::vector<std::string> mContacts;
  std::size_t mNextContact = 0;
  std::optional<TimePoint> mStart;             /**< First tick. */
  std::map<std::string, TimePoint> mProbes;    /**< Unanswered probes, by member; their start. */
  std::map<std::string, std::uint32_t> mQueue; /**< Changes to spread; times sent. */
  std::vector<std::string> mRound;             /**< Members still to be probed in this round. */
  std::vector<MemberChange> mChanges;
  std::minstd_rand mRandom;
  std::size_t mLiveCount = 0;
  std::uint64_t mTickCount = 0;
  std::uint64_t mLiveDigest = 0;
  std::optional<TimePoint> mDiffersSince; /**< Messages have shown other live members. */
  bool mWantsSync = true;
};

} // namespace skylarkchute
