#pragma once

#include "RetryDelay.h"
#include "WatchOptions.h"

#include <optional>
#include <vector>

namespace skylarkchute {

/** The result of one call on the objects with a prefix. */
struct PrefixUpdate
{
  bool mFailed = false;              /**< The call failed; nothing else is set. */
  bool mComplete = false;            /**< mEntries lists all objects, not only changes. */
  std::vector<ObjectEntry> mEntries; /**< Empty if nothing changed. */
  /** The result reflects the objects at some time not before this. */
  TimePoint mValidAt;
};

/** Keeps one call on a prefix in flight: first a list, then one long-polling watch after another,
    each sent after a random delay. After a failed call it starts again with a list. */
class PrefixWatch
{
public:
  explicit PrefixWatch(const WatchOptions& aOptions);

  /** Returns the next call, if one is due.
      @param aId  id of that call */
  std::optional<ObjectCall> Poll(std::uint64_t aId, TimePoint aNow);

  /** Processes a reply. @returns its result; empty if it is not for the call in flight */
  std::optional<PrefixUpdate> OnReply(const ObjectReply& aReply, TimePoint aNow);

  /** Abandons the call in flight; the next Poll returns a list. */
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
  TimePoint mNextCallAt;
  std::optional<std::uint64_t> mPosition; /**< Where the next watch starts; empty before a list. */
};

} // namespace skylarkchute
