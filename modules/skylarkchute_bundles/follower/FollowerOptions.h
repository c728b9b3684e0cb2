#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>

namespace skylarkchute {

/** Identity and timing of a BundleFollower. */
struct FollowerOptions
{
  InstanceId mSelf;
  ZoneName mZone;
  std::uint64_t mSeed = 0;
  /** Maximum wait of one watch. Must be less than mConfirmationMaxAge: an idle watch confirms the
     head only when it returns. */
  std::chrono::milliseconds mMaxWatchWait{ 8000 };
  /** A generation whose last confirmation is older needs a new one. */
  std::chrono::milliseconds mConfirmationMaxAge{ 10000 };
  /** A longer gap between two ticks is treated as a pause of the process. */
  std::chrono::milliseconds mPauseThreshold{ 2000 };
  /** Time after a pause during which BundleFollower::OnPeerHead ignores its input, since the
      message may have been buffered since before the end of the pause. */
  std::chrono::milliseconds mSettleTime{ 1000 };
  /** Maximum random delay before the next watch is sent. */
  std::chrono::milliseconds mRearmJitter{ 250 };
  /** Delay after the first failed call, before jitter; doubles with each further failure, up to
      mMaxRetryDelay. */
  std::chrono::milliseconds mMinRetryDelay{ 250 };
  std::chrono::milliseconds mMaxRetryDelay{ 5000 };
  /** Timeout of calls to the store and to peers; a watch has its wait in addition. */
  std::chrono::milliseconds mCallTimeout{ 2000 };
};

} // namespace skylarkchute
