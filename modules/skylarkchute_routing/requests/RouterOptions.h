#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>

namespace skylarkchute {

/** What one router is told at its start. */
struct RouterOptions
{
  ZoneName mZone;          /**< Own zone; its endpoints are preferred while they have room. */
  std::uint64_t mSeed = 0; /**< Of every random draw. */
  InstanceId mInstance;    /**< Decides the subset of endpoints; any stable text. */

  /** Part of each fleet-wide limit that may be used before the first ApplyLimitShares, 0 to 1. */
  double mStartShare = 0.1;

  /** Endpoints kept for each version or service; larger pools are cut by rendezvous hashing. */
  std::size_t mSubsetSize = 24;

  /** Requests that may wait at once; beyond it the least urgent are refused. */
  std::size_t mMaxQueued = 10000;

  /** Slots assumed for an endpoint that reports none. */
  std::uint32_t mDefaultSlots = 16;

  /** Deadline of a request that names none. */
  std::chrono::milliseconds mDefaultTimeout{ 60000 };

  /** Longest time that an answer is held back for its rating. */
  std::chrono::milliseconds mRatingWait{ 500 };
};

} // namespace skylarkchute
