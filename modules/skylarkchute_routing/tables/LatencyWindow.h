#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <array>
#include <chrono>

namespace skylarkchute {

/** The latencies of the last answers of one kind, for a mean and a quantile. */
class LatencyWindow
{
public:
  /** Counts one latency. */
  void Record(std::chrono::microseconds aLatency, TimePoint aNow);

  /** Returns the mean, fading to zero when nothing was recorded for a while, so that an estimate
      that is out of date cannot keep requests out for ever. */
  std::chrono::microseconds Mean(TimePoint aNow) const;

  /** Returns the quantile over the window, zero while it holds fewer than 20 latencies.
      @param aQuantile  from 0 to 1 */
  std::chrono::microseconds Quantile(double aQuantile) const;

private:
  static constexpr std::size_t kSize = 128;

  std::array<std::uint32_t, kSize> mMicroseconds{};
  std::size_t mCount = 0;
  std::size_t mNext = 0;
  double mMean = 0; /**< Moving average, in microseconds. */
  TimePoint mLastAt{};
};

/** A moving average of events per second. */
class RateMeter
{
public:
  /** Counts events. */
  void Add(double aCount, TimePoint aNow);

  /** Returns events per second over the last few seconds. */
  double PerSecond(TimePoint aNow) const;

  /** Returns whether it has run for long enough to be believed. */
  bool IsWarm(TimePoint aNow) const;

private:
  double Decayed(TimePoint aNow) const;

  double mSum = 0; /**< Decayed count of events. */
  TimePoint mFirstAt{};
  TimePoint mLastAt{};
};

} // namespace skylarkchute
