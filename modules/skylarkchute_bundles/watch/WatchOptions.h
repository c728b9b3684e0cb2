#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace skylarkchute {

/** Prefix and timing of a PrefixWatch. */
struct WatchOptions
{
  std::string mPrefix;
  CallPurpose mPurpose = CallPurpose::Bundle;
  std::uint64_t mSeed = 0;
  /** Maximum wait of one watch; the actual wait is random between half of it and all of it. */
  std::chrono::milliseconds mWait{ 8000 };
  /** Maximum random delay before the next watch is sent. */
  std::chrono::milliseconds mRearmJitter{ 250 };
  /** Delay after the first failed call, before jitter; doubles with each further failure, up to
      mMaxRetryDelay. */
  std::chrono::milliseconds mMinRetryDelay{ 250 };
  std::chrono::milliseconds mMaxRetryDelay{ 5000 };
  /** Timeout of a call; a watch has its wait in addition. */
  std::chrono::milliseconds mCallTimeout{ 2000 };
};

} // namespace skylarkchute
