#pragma once

#include "RetryDelay.h"
#include "WatchOptions.h"

#include <optional>
#include <vector>

namespace skylarkchute {

/** What one reply said of the objects below a prefix. */
struct PrefixSighting
{
  bool mFailed = false;              /**< No usable answer. */
  bool mComplete = false;            /**< mEntries is a list of all objects, not of changes. */
  std::vector<ObjectEntry> mEntries; /**< Possibly none, when nothing changed. */
  /** The answer holds for a time not before this. */
  TimePoint mHoldsAt;
};

/** Keeps one call on a prefix in flight: a list to begin with, then one waiting watch after the
    other, each armed after a random delay. A failed call starts again with a list. */
class PrefixWatch
{
public:
  explicit PrefixWatch(const WatchOptions& aOptions);

  /** Returns the next call when one is due.
      @param aId  the id to give it */
  std::optional<ObjectCall> Poll(std::uint64_t aId, TimePoint aNow);

  /** Takes in a reply; returns what it says, or nothing when it is not for the call in flight. */
  std::optional<PrefixSighting> OnReply(const ObjectReply& aReply, TimePoint aNow);

  /** Forgets the call in flight and lists at the next poll. */
  void Restart(TimePoint aNow);

  /** Returns whether the last call failed. */
  bool IsFailing() const { return mFailing; }

private:
  void Fail(TimePoint aNow);

  WatchOptions mOptions;
  RetryDelay mDelay;
  std::optional<std::uint64_t> mCallId;
  bool mCallIsWatch = false;
  bool mFailing = false;
  TimePoint mSentAt;
  TimePoint mDeadline;
  TimePoint mNextAt;
  std::optional<std::uint64_t> mPosition; /**< Where to watch from; empty before a list. */
};

} // namespace skylarkchute
