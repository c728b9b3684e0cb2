#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace skylarkchute {

/** What a PrefixWatch watches and its time bounds. */
struct WatchOptions
{
  std::string mPrefix;
  CallPurpose mPurpose = CallPurpose::Bundle;
  std::uint64_t mSeed = 0;
  /** Longest wait of one watch; each waits for a random time from half of it on. */
  std::chrono::milliseconds mWait{ 8000 };
  /** A watch is armed again after a random delay up to this. */
  std::chrono::milliseconds mRearmJitter{ 250 };
  /** Delay after a first failed call, doubled for each further one up to mRetryMost. */
  std::chrono::milliseconds mRetryLeast{ 250 };
  std::chrono::milliseconds mRetryMost{ 5000 };
  /** Time limit of a call, added to the wait of a watch. */
  std::chrono::milliseconds mCallTimeout{ 2000 };
};

} // namespace skylarkchute
