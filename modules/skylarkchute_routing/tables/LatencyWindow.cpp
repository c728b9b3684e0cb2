#include "LatencyWindow.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace skylarkchute {

namespace {

/** Weight of one latency in the moving average. */
constexpr double kMeanWeight = 0.1;
constexpr double kMeanHalfLifeSeconds = 10;
/** Time without a recorded latency after which the mean starts to decay. */
constexpr std::chrono::seconds kFreshMeanAge{ 5 };
constexpr std::size_t kMinQuantileSamples = 20;
constexpr double kRateTimeConstantSeconds = 2;
/** Time after the first event until the rate is reliable. */
constexpr std::chrono::milliseconds kRateWarmUpTime{ 500 };

double Seconds(TimePoint::duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

void LatencyWindow::Record(std::chrono::microseconds aLatency, TimePoint aNow)
{
  const auto maxValue = static_cast<std::int64_t>(std::numeric_limits<std::uint32_t>::max());
  const auto value = std::clamp<std::int64_t>(aLatency.count(), 0, maxValue);
  mMicroseconds[mNext] = static_cast<std::uint32_t>(value);
  mNext = (mNext + 1) % kSize;
  mMean = mCount == 0 ? value : mMean + kMeanWeight * (value - mMean);
  mCount = std::min(mCount + 1, kSize);
  mLastAt = aNow;
}

std::chrono::microseconds LatencyWindow::Mean(TimePoint aNow) const
{
  const auto idle = aNow - mLastAt;
  const double stale = idle > kFreshMeanAge ? Seconds(idle - kFreshMeanAge) : 0;
  const double decayed = mMean * std::exp2(-stale / kMeanHalfLifeSeconds);
  return std::chrono::microseconds(static_cast<std::int64_t>(decayed));
}

std::chrono::microseconds LatencyWindow::Quantile(double aQuantile) const
{
  if (mCount < kMinQuantileSamples) {
    return std::chrono::microseconds(0);
  }
  std::vector<std::uint32_t> sorted(mMicroseconds.begin(),
                                    mMicroseconds.begin() + static_cast<std::ptrdiff_t>(mCount));
  const auto rank = static_cast<std::ptrdiff_t>(aQuantile * static_cast<double>(mCount - 1));
  std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
  return std::chrono::microseconds(sorted[static_cast<std::size_t>(rank)]);
}

void RateMeter::Add(double aCount, TimePoint aNow)
{
  if (mFirstAt == TimePoint{}) {
    mFirstAt = aNow;
  }
  mSum = Decayed(aNow) + aCount;
  mLastAt = aNow;
}

double RateMeter::PerSecond(TimePoint aNow) const
{
  const double age = Seconds(aNow - mFirstAt);
  const double effectiveSeconds =
    kRateTimeConstantSeconds * (1 - std::exp(-age / kRateTimeConstantSeconds));
  return effectiveSeconds <= 0 ? 0 : Decayed(aNow) / effectiveSeconds;
}

bool RateMeter::IsWarm(TimePoint aNow) const
{
  return mFirstAt != TimePoint{} && aNow - mFirstAt >= kRateWarmUpTime;
}

double RateMeter::Decayed(TimePoint aNow) const
{
  return mSum * std::exp(-Seconds(aNow - mLastAt) / kRateTimeConstantSeconds);
}

} // namespace skylarkchute
