#pragma once

#include "FollowerOptions.h"
#include "RetryDelay.h"

#include <optional>
#include <string>

namespace skylarkchute {

/** What the platform said of the head. */
struct HeadSighting
{
  /** The call was sent no earlier than this and answered just before the reply. */
  TimePoint mSentAt;
  bool mFailed = false;  /**< No usable answer. */
  bool mChanged = false; /**< mBody is the head; else nothing changed during a watch. */
  bool mAbsent = false;  /**< There is no head. */
  bool mWatched = false; /**< The answer of a watch, which holds for the time of the reply. */
  std::string mBody;
};

/** Keeps one call on the head in flight: a list to begin with, then one waiting watch after the
    other, each armed after a random delay. A failed call starts again with a list. */
class HeadWatch
{
public:
  explicit HeadWatch(const FollowerOptions& aOptions);

  /** Returns the next call when one is due.
      @param aId  the id to give it */
  std::optional<ObjectCall> Poll(std::uint64_t aId, TimePoint aNow);

  /** Takes in a reply; returns what it says, or nothing when it is not for the call in flight. */
  std::optional<HeadSighting> OnReply(const ObjectReply& aReply, TimePoint aNow);

  /** Forgets the call in flight and lists at the next poll. */
  void Restart(TimePoint aNow);

  /** Returns whether the last call failed. */
  bool IsFailing() const { return mFailing; }

private:
  HeadSighting Fail(TimePoint aNow);
  HeadSighting ReadReply(const ObjectReply& aReply, bool aWatched) const;

  FollowerOptions mOptions;
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
