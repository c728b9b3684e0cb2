#include "AffinityRates.h"

#include <algorithm>
#include <utility>

namespace skylarkchute {

double AffinityRates::Count(std::uint64_t aKey, TimePoint aNow)
{
  if (aNow - mCurrentSince >= kPeriod) {
    mPrevious = aNow - mCurrentSince < 2 * kPeriod ? std::exchange(mCurrent, {}) : Period{};
    mCurrent = {};
    mCurrentSince = aNow;
  }
  ++mCurrent.mRequests;
  std::uint32_t count = 0;
  if (mCurrent.mCounts.size() < kMaxKeys) {
    count = ++mCurrent.mCounts[aKey];
  } else if (const auto found = mCurrent.mCounts.find(aKey); found != mCurrent.mCounts.end()) {
    count = ++found->second;
  }
  const auto previous = mPrevious.mCounts.find(aKey);
  count += previous == mPrevious.mCounts.end() ? 0 : previous->second;
  return static_cast<double>(count - std::min(count, kUncounted)) /
         (mCurrent.mRequests + mPrevious.mRequests);
}

} // namespace skylarkchute
