#include "EndpointRoom.h"

#include <algorithm>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

/** Part of the rejections that an endpoint survives, which all instances together may cause. */
constexpr double kLimitShare = 0.5;

/** Bounds of the time after a rejection. */
constexpr milliseconds kMinRejectedTime{ 500 };
constexpr milliseconds kMaxRejectedTime{ 10000 };

/** Time, for each instance, for which an endpoint counts as full after such a report. The more
    instances there are, the fewer reports each of them gets. */
constexpr milliseconds kFullTimePerInstance{ 30 };
constexpr milliseconds kMaxFullTime{ 3000 };

} // namespace

void EndpointRoom::OnFull(std::size_t aInstances, TimePoint aNow)
{
  mIsLost = false;
  const auto time = std::min(kMaxFullTime, kFullTimePerInstance * static_cast<int>(aInstances));
  mFullUntil = std::max(mFullUntil, aNow + time);
}

void EndpointRoom::OnFree(TimePoint aNow)
{
  mIsLost = false;
  mFullUntil = aNow;
}

void EndpointRoom::OnRejected(double aLimit, std::size_t aInstances, double aSpread, TimePoint aNow)
{
  const std::chrono::duration<double> mean(static_cast<double>(aInstances) /
                                           (kLimitShare * std::max(aLimit, 0.01)));
  const auto bounded = std::clamp<std::chrono::duration<double>>(
    mean * (0.5 + aSpread), kMinRejectedTime, kMaxRejectedTime);
  mFullUntil = std::max(mFullUntil, aNow + std::chrono::ceil<milliseconds>(bounded));
}

milliseconds EndpointRoom::WaitTime(TimePoint aNow) const
{
  return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(mFullUntil - aNow));
}

} // namespace skylarkchute
