#pragma once

#include "../LedgerTypes.h"

namespace skylarkchute {

/** Actions that the caller of a register store must carry out. */
struct RegisterOutput
{
  std::vector<ObjectCall> mCalls;
  std::vector<RegisterOutcome> mOutcomes;
  std::vector<LogEvent> mEvents;

  /** Moves the contents of @p aOther to the end of this output. */
  void Append(RegisterOutput aOther);
};

/** Settings of the register stores; those of shards and segments apply to ShardedRegisters. */
struct RegisterOptions
{
  /** A write or read without an outcome after this time ends with NotWritten or Unresolved. */
  std::chrono::milliseconds mOperationTimeout{ 3000 };
  /** Delay before the first retry of a store call; it doubles up to mMaxBackoff. */
  std::chrono::milliseconds mInitialBackoff{ 20 };
  std::chrono::milliseconds mMaxBackoff{ 500 };
  std::chrono::milliseconds mCallTimeout{ 1000 };
  /** Registers are removed this long after they expire, to allow for clock differences between
      instances. */
  std::chrono::seconds mExpiryMargin{ 600 };
  /** Number of shard chains; must be equal on every instance. */
  std::uint32_t mShards = 16;
  /** The head of a shard is sealed when it holds this many registers. */
  std::uint32_t mSegmentRegisters = 16;
  /** The head is sealed earlier when the size of its registers reaches this many bytes. */
  std::size_t mSegmentBytes = 65536;
  /** Idle shard chains are dropped from memory when they have not been used for this time. */
  std::chrono::seconds mIdleChainLifetime{ 600 };
};

} // namespace skylarkchute
