#pragma once

#include <platform/StoreCodec.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <set>

namespace skylarkchute {

/** Finds out whether changes of the store have not reached this instance, because the answers to
   its watches were lost. Compares the state that the store names with the changes received: each
   change raises the store's revision, so a revision without a change is one that was missed, or one
   of a kind that is not watched. Performs no I/O. */
class MissedChanges
{
public:
  /** How long a change may take to arrive after the store has named its state. */
  static constexpr std::chrono::milliseconds kArrivalTime{ 800 };

  /** Records a change that was received. */
  void OnChange(StoreVersion aRevision);

  /** Records that all changes up to a state are known. */
  void OnKnownUpTo(StoreVersion aState);

  /** Records the state that the store has named. */
  void OnStoreState(StoreVersion aState) { mStoreState = std::max(mStoreState, aState); }

  /** Returns the state up to which the watches have to catch up, or nothing when no change is
      missing. Returned again after kArrivalTime while changes are still missing. To be called every
      few hundred milliseconds. */
  std::optional<StoreVersion> TakeMissed(TimePoint aNow);

private:
  void SkipReceived();

  StoreVersion mKnownUpTo = 0;      /**< No change up to here is missing. */
  std::set<StoreVersion> mReceived; /**< Changes after mKnownUpTo. */
  StoreVersion mStoreState = 0;
  StoreVersion mAwaitedAfter = 0; /**< mKnownUpTo when mAwaitedSince was set. */
  std::optional<TimePoint> mAwaitedSince;
};

} // namespace skylarkchute
