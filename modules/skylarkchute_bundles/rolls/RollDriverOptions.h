#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>

namespace skylarkchute {

/** Identity, delays and time limits of a RollDriver. */
struct RollDriverOptions
{
  InstanceId mSelf;
  std::uint64_t mSeed = 0;
  /** Longest time that the platform may hold one watch call on the roll objects. */
  std::chrono::milliseconds mMaxWatchWait{ 20000 };
  /** Interval at which growing evidence is written to the roll object. */
  std::chrono::milliseconds mCheckpointInterval{ 30000 };
  /** The instance of rank n (0 for the first) writes a due step after n times this delay. */
  std::chrono::milliseconds mTakeoverDelay{ 5000 };
  /** Replaces mTakeoverDelay when the step is a withdrawal. */
  std::chrono::milliseconds mWithdrawalTakeoverDelay{ 1000 };
  /** A healthy verdict older than this does not end a stage. */
  std::chrono::milliseconds mMaxVerdictAge{ 10000 };
  /** Delay after the first failed call, doubled for each further failure up to mMaxRetryDelay. */
  std::chrono::milliseconds mMinRetryDelay{ 250 };
  std::chrono::milliseconds mMaxRetryDelay{ 5000 };
  std::chrono::milliseconds mCallTimeout{ 2000 };
};

} // namespace skylarkchute
