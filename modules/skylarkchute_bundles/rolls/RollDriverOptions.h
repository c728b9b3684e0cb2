#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>

namespace skylarkchute {

/** Identity and time bounds of a RollDriver. */
struct RollDriverOptions
{
  InstanceId mSelf;
  std::uint64_t mSeed = 0;
  /** Longest wait of the watch on the roll objects. */
  std::chrono::milliseconds mWatchWait{ 20000 };
  /** Evidence is written to the roll object this often while it grows. */
  std::chrono::milliseconds mCheckpoint{ 30000 };
  /** An instance of rank n takes a step that is due for n times this. */
  std::chrono::milliseconds mTakeover{ 5000 };
  /** The same for a withdrawal. */
  std::chrono::milliseconds mWithdrawalTakeover{ 1000 };
  /** An older healthy verdict does not end a stage. */
  std::chrono::milliseconds mVerdictAge{ 10000 };
  /** Delay after a first failed write, doubled for each further one up to mRetryMost. */
  std::chrono::milliseconds mRetryLeast{ 250 };
  std::chrono::milliseconds mRetryMost{ 5000 };
  std::chrono::milliseconds mCallTimeout{ 2000 };
};

} // namespace skylarkchute
