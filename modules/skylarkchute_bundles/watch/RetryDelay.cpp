#include "RetryDelay.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>

namespace skylarkchute {

using std::chrono::milliseconds;

RetryDelay::RetryDelay(milliseconds aLeast, milliseconds aMost, std::uint64_t aSeed)
  : mLeast(aLeast)
  , mMost(aMost)
  , mRandom(aSeed)
{
}

milliseconds RetryDelay::NextAfterFailure()
{
  constexpr std::uint32_t kMostDoublings = 16;
  const auto doublings = std::min(mFailures++, kMostDoublings);
  const auto delay = std::min(mMost, mLeast * (std::int64_t{ 1 } << doublings));
  return delay / 2 + Uniform(delay / 2);
}

milliseconds RetryDelay::Uniform(milliseconds aMost)
{
  using Distribution = boost::random::uniform_int_distribution<std::int64_t>;
  return milliseconds(Distribution(0, aMost.count())(mRandom));
}

} // namespace skylarkchute
