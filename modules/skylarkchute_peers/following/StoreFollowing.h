#pragma once

#include "../membership/GossipTypes.h"

#include <optional>
#include <random>

namespace skylarkchute {

/** Decides whether this instance watches the platform's store. Performs no I/O.

    A few instances, in different zones, watch the store and pass changes on to the others, so the
    calls for a change do not grow with the fleet. There is no election: each instance decides by
    what it knows of the others, and too many followers for a while do no harm. A follower that the
    store does not serve is replaced by the next one in an order that all instances share. While
    nobody is served, the instances of the fleet try one after the other, at a rate that does not
    depend on their number. An instance that is cut off from all others follows by itself. */
class StoreFollowing
{
public:
  /** Instances that watch the store at the same time. */
  static constexpr std::size_t kFollowers = 3;

  /** Instances that keep trying while the store serves none of them. */
  static constexpr std::size_t kMaxFailing = 5;

  /** Without a confirmation for this long, an instance no longer relies on the followers. */
  static constexpr std::chrono::milliseconds kBlindTimeout{ 3000 };

  /** The same for the instances that are next to follow, which call the followers regularly. */
  static constexpr std::chrono::milliseconds kStandbyTimeout{ 1000 };

  /** An instance that has heard from no other one for this long follows the store by itself. */
  static constexpr std::chrono::milliseconds kIsolationTimeout{ 1400 };

  /** An instance that starts or wakes waits this long for others to give it the store's state. */
  static constexpr std::chrono::milliseconds kStartupWait{ 1200 };

  /** @param aIsContact  whether other instances contact this one when they start, or no other one
     is known to contact; it then follows from the start */
  StoreFollowing(MemberRecord aSelf, bool aIsContact, std::uint64_t aSeed, TimePoint aNow);

  /** Records whether the store serves this instance.
      @param aAnsweredAt  when it answered last */
  void OnStoreResult(bool aIsServed, TimePoint aAnsweredAt);

  /** Records that the state of another instance, which this one holds as well, was confirmed by the
      store some time ago.
      @param aAge  time since then */
  void OnConfirmation(std::chrono::milliseconds aAge, TimePoint aNow);

  /** Records that the store served another instance some time ago, whatever state that one holds.
      @param aAge  time since then */
  void OnServed(std::chrono::milliseconds aAge, TimePoint aNow);

  /** Records that a message of another instance has arrived. */
  void OnMessage(TimePoint aNow) { mHeardAt = aNow; }

  /** Returns the time since this instance's state was last known to be the current state of the
      store, or nothing if it never was. */
  std::optional<std::chrono::milliseconds> ConfirmationAge(TimePoint aNow) const;

  /** Returns the time since the store was last known to serve any instance, or nothing if it never
      was. */
  std::optional<std::chrono::milliseconds> ServedAge(TimePoint aNow) const;

  /** Records that this process was paused: that it has heard of no confirmation since says nothing
      about the followers. */
  void OnPause(TimePoint aNow) { mWaitsSince = aNow; }

  /** Returns the names of the followers that this instance is to call regularly; empty unless it is
      one of those that are next to follow.
      @param aOthers  the other live instances */
  std::vector<std::string> FollowersToCall(const std::vector<const MemberUpdate*>& aOthers) const;

  /** Returns what this instance does with the store. To be called every few hundred milliseconds.
      @param aOthers  the other live instances */
  StoreRole Decide(const std::vector<const MemberUpdate*>& aOthers, TimePoint aNow);

private:
  bool ShouldStart(const std::vector<const MemberUpdate*>& aOthers, TimePoint aNow);
  bool ShouldStop(const std::vector<const MemberUpdate*>& aOthers, TimePoint aNow);
  std::size_t RankToStart(const std::vector<const MemberUpdate*>& aOthers) const;
  bool IsIsolated(TimePoint aNow) const;
  bool IsTrialDue(std::size_t aInstances, TimePoint aNow);

  MemberRecord mSelf;
  StoreRole mRole = StoreRole::None;
  bool mHasFailed = false; /**< The last call to the store was not served. */
  TimePoint mWaitsSince;   /**< Start of the process, or end of its last pause. */
  TimePoint mHeardAt{};    /**< Last message of another instance. */
  std::optional<TimePoint> mConfirmedAt;
  std::optional<TimePoint> mServedAt;
  std::optional<TimePoint> mVacantSince; /**< A place of a follower has been this one's to take. */
  std::optional<TimePoint> mRedundantSince; /**< Enough others have been following. */
  TimePoint mLastDecision{};
  std::minstd_rand mRandom;
};

} // namespace skylarkchute
