#include "RetryWindow.h"

#include <algorithm>

namespace skylarkchute {

namespace {

/** Fraction of the limit that is used. The rest covers requests that are counted in the next
    window. */
constexpr double kUsableFraction = 0.85;

/** Fraction of the limit up to which hedges are sent. */
constexpr double kHedgeFraction = 0.5;

} // namespace

std::int64_t RetryWindow::SliceNumberAt(TimePoint aNow, const RetryBound& aBound)
{
  const auto length =
    std::max<std::chrono::nanoseconds>(aBound.mWindow / kSlices, std::chrono::milliseconds(1));
  return aNow.time_since_epoch() / length;
}

RetryWindow::Slice& RetryWindow::Current(TimePoint aNow, const RetryBound& aBound)
{
  const auto number = SliceNumberAt(aNow, aBound);
  auto& slice = mSlices[static_cast<std::size_t>(number) % mSlices.size()];
  if (slice.mNumber != number) {
    slice = Slice{ number, 0, 0 };
  }
  return slice;
}

void RetryWindow::OnFirstAttempt(TimePoint aNow, const RetryBound& aBound)
{
  ++Current(aNow, aBound).mFirstAttempts;
}

bool RetryWindow::TakeRetry(TimePoint aNow, const RetryBound& aBound, std::size_t aInstances)
{
  return Take(aNow, aBound, aInstances, 1);
}

bool RetryWindow::TakeHedge(TimePoint aNow, const RetryBound& aBound, std::size_t aInstances)
{
  return Take(aNow, aBound, aInstances, kHedgeFraction);
}

/** @param aFraction  of the limit, up to which the budget is spent */
bool RetryWindow::Take(TimePoint aNow,
                       const RetryBound& aBound,
                       std::size_t aInstances,
                       double aFraction)
{
  const auto use = UsageAt(aNow, aBound, aInstances);
  if (use.mRepeats + 1 > aFraction * use.mRetryLimit) {
    return false;
  }
  ++Current(aNow, aBound).mRepeats;
  return true;
}

RetryWindow::Usage RetryWindow::UsageAt(TimePoint aNow,
                                        const RetryBound& aBound,
                                        std::size_t aInstances) const
{
  const auto current = SliceNumberAt(aNow, aBound);
  double firstAttempts = 0;
  double repeats = 0;
  for (const auto& it : mSlices) {
    if (it.mNumber >= 0 && current - it.mNumber <= static_cast<std::int64_t>(kSlices)) {
      firstAttempts += it.mFirstAttempts;
      repeats += it.mRepeats;
    }
  }
  const double share = aBound.mSlack / static_cast<double>(std::max<std::size_t>(aInstances, 1));
  return { repeats, kUsableFraction * (aBound.mRatio * firstAttempts + share) };
}

} // namespace skylarkchute
