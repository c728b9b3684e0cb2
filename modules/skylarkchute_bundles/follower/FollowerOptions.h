#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>

namespace skylarkchute {

/** Identity and time bounds of a BundleFollower. */
struct FollowerOptions
{
  InstanceId mSelf;
  ZoneName mZone;
  std::uint64_t mSeed = 0;
  /** Longest wait of one watch; below mFreshness, since its empty answer confirms the head. */
  std::chrono::milliseconds mWatchWait{ 8000 };
  /** A generation that nobody confirmed for longer needs confirmation. */
  std::chrono::milliseconds mFreshness{ 10000 };
  /** A longer gap between ticks counts as a pause of the process. */
  std::chrono::milliseconds mPauseBound{ 2000 };
  /** Peer notices may have waited in a buffer for this long after a pause. */
  std::chrono::milliseconds mSettleTime{ 1000 };
  /** A watch is armed again after a random delay up to this. */
  std::chrono::milliseconds mRearmJitter{ 250 };
  /** Delay after a first failed call, doubled for each further one up to mRetryMost. */
  std::chrono::milliseconds mRetryLeast{ 250 };
  std::chrono::milliseconds mRetryMost{ 5000 };
  /** Time limit of calls to the store and to peers, added to the wait of a watch. */
  std::chrono::milliseconds mCallTimeout{ 2000 };
};

} // namespace skylarkchute
