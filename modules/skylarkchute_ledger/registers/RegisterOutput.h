#pragma once

#include "../LedgerTypes.h"

namespace skylarkchute {

/** What a register store wants done after an event. */
struct RegisterOutput
{
  std::vector<ObjectCall> mCalls;
  std::vector<RegisterOutcome> mOutcomes;
  std::vector<LogEvent> mEvents;

  /** Moves the contents of @p aOther to the end of this output. */
  void Append(RegisterOutput aOther);
};

/** Limits shared by every register store. */
struct RegisterOptions
{
  /** A write or read that is not settled after this time ends with NotWritten or Unresolved. */
  std::chrono::milliseconds mGiveUp{ 3000 };
  std::chrono::milliseconds mFirstRetry{ 20 };
  std::chrono::milliseconds mLongestRetry{ 500 };
  std::chrono::milliseconds mCallTimeout{ 1000 };
  /** Registers are removed this long after they expire, against clock error between instances. */
  std::chrono::seconds mExpiryMargin{ 600 };
  /** Number of shard chains; must be equal on every instance. */
  std::uint32_t mShards = 16;
  /** Registers in the head of a shard before it is sealed. */
  std::uint32_t mSegmentRegisters = 16;
  /** The head is sealed earlier when its values reach this many bytes. */
  std::size_t mSegmentBytes = 65536;
  /** Shards that were not used for this time are dropped from memory. */
  std::chrono::seconds mCacheIdle{ 600 };
};

} // namespace skylarkchute
