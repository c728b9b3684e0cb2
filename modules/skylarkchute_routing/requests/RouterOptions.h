#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>

namespace skylarkchute {

/** The construction parameters of a router. */
struct RouterOptions
{
  ZoneName mZone;          /**< Own zone; its endpoints are preferred while they have capacity. */
  std::uint64_t mSeed = 0; /**< Seed of the random generator. */
  InstanceId mInstance;    /**< Determines the subset of endpoints; any stable text. */

  /** Share of each fleet-wide limit available before the first ApplyLimitShares, 0 to 1. */
  double mInitialLimitShare = 0.1;

  /** Maximum number of endpoints used for each version or service. From larger pools, rendezvous
      hashing selects a subset. */
  std::size_t mSubsetSize = 24;

  /** Maximum number of queued requests; beyond it, the least urgent are refused. */
  std::size_t mMaxQueued = 10000;

  /** Slots assumed for an endpoint that has not reported any. */
  std::uint32_t mDefaultSlots = 16;

  /** Timeout of a request that specifies none. */
  std::chrono::milliseconds mDefaultTimeout{ 60000 };

  /** Maximum time for which an answer is held until it is rated. */
  std::chrono::milliseconds mRatingWait{ 500 };
};

} // namespace skylarkchute
