#pragma once

#include <boost/random/mersenne_twister.hpp>

#include <chrono>
#include <cstdint>

namespace skylarkchute {

/** Random delays between attempts: exponential back-off with full jitter over its upper half. */
class RetryDelay
{
public:
  /** @param aLeast  delay after the first failure, before jitter
      @param aMost   greatest delay */
  RetryDelay(std::chrono::milliseconds aLeast,
             std::chrono::milliseconds aMost,
             std::uint64_t aSeed);

  /** Returns the delay after one more failure. */
  std::chrono::milliseconds NextAfterFailure();

  /** Starts again with the least delay. */
  void Reset() { mFailures = 0; }

  /** Returns a uniform delay from zero to @p aMost. */
  std::chrono::milliseconds Uniform(std::chrono::milliseconds aMost);

private:
  std::chrono::milliseconds mLeast;
  std::chrono::milliseconds mMost;
  std::uint32_t mFailures = 0;
  boost::random::mt19937_64 mRandom;
};

} // namespace skylarkchute
