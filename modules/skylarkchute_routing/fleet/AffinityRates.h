#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace skylarkchute {

/** Estimates which share of a service's requests has the same affinity, from the requests of this
    instance in the last kPeriod to two times kPeriod. Performs no I/O.

    Callers are distributed over the instances evenly enough that the share at one instance stands
    for that of all. */
class AffinityRates
{
public:
  static constexpr std::chrono::milliseconds kPeriod{ 5000 };

  /** Counts a request.
      @param aKey  hash of its affinity
      @returns the share of requests with this affinity, 0 to 1; the first kUncounted are left out,
               so that a few requests of one session do not count as much of the traffic */
  double Count(std::uint64_t aKey, TimePoint aNow);

  static constexpr std::uint32_t kUncounted = 2;

private:
  /** Bounds the memory: one instance serves about 11 requests a second, so that this is reached
      only by a caller that makes up affinities. */
  static constexpr std::size_t kMaxKeys = 1024;

  struct Period
  {
    std::unordered_map<std::uint64_t, std::uint32_t> mCounts;
    std::uint32_t mRequests = 0;
  };

  Period mCurrent;
  Period mPrevious;
  TimePoint mCurrentSince{};
};

} // namespace skylarkchute
