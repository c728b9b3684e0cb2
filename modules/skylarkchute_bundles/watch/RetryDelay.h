#pragma once

#include <boost/random/mersenne_twister.hpp>

#include <chrono>
#include <cstdint>

namespace skylarkchute {

/** Delays between attempts: exponential back-off with jitter. Each delay is uniformly distributed
    between half of the back-off value and all of it. */
class RetryDelay
{
public:
  /** @param aMinDelay  delay after the first failure, before jitter
      @param aMaxDelay  upper limit of the delay */
  RetryDelay(std::chrono::milliseconds aMinDelay,
             std::chrono::milliseconds aMaxDelay,
             std::uint64_t aSeed);

  /** Counts a failure and returns the delay before the next attempt. */
  std::chrono::milliseconds NextAfterFailure();

  /** Resets the back-off after a success. */
  void Reset() { mFailures = 0; }

  /** Returns a uniformly distributed delay between zero and @p aMaxDelay. */
  std::chrono::milliseconds Uniform(std::chrono::milliseconds aMaxDelay);

private:
  std::chrono::milliseconds mMinDelay;
  std::chrono::milliseconds mMaxDelay;
  std::uint32_t mFailures = 0;
  boost::random::mt19937_64 mRandom;
};

} // namespace skylarkchute
