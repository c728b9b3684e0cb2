#include "RetryDelay.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>

namespace skylarkchute {

using std::chrono::milliseconds;

RetryDelay::RetryDelay(milliseconds aMinDelay, milliseconds aMaxDelay, std::uint64_t aSeed)
  : mMinDelay(aMinDelay)
  , mMaxDelay(aMaxDelay)
  , mRandom(aSeed)
{
}

milliseconds RetryDelay::NextAfterFailure()
{
  constexpr std::uint32_t kMaxDoublings = 16;
  const auto doublings = std::min(mFailures++, kMaxDoublings);
  const auto delay = std::min(mMaxDelay, mMinDelay * (std::int64_t{ 1 } << doublings));
  return delay / 2 + Uniform(delay / 2);
}

milliseconds RetryDelay::Uniform(milliseconds aMaxDelay)
{
  using Distribution = boost::random::uniform_int_distribution<std::int64_t>;
  return milliseconds(Distribution(0, aMaxDelay.count())(mRandom));
}

} // namespace skylarkchute
