#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <array>
#include <chrono>

namespace skylarkchute {

/** The latencies of the last 128 answers of one kind, with their mean and quantiles. */
class LatencyWindow
{
public:
  /** Records one latency. */
  void Record(std::chrono::microseconds aLatency, TimePoint aNow);

  /** Returns the moving average; zero if there is none. It decays to zero when nothing has been
      recorded for 5 s, so that an outdated estimate cannot cause requests to be refused
      indefinitely. */
  std::chrono::microseconds Mean(TimePoint aNow) const;

  /** Returns a quantile of the window; zero while it holds fewer than 20 latencies.
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

/** Exponential moving average of the number of events per second. */
class RateMeter
{
public:
  /** Adds a number of events. */
  void Add(double aCount, TimePoint aNow);

  /** Returns the events per second, averaged over a time constant of 2 s. */
  double PerSecond(TimePoint aNow) const;

  /** Returns whether enough time has passed since the first event for a reliable rate. */
  bool IsWarm(TimePoint aNow) const;

private:
  double Decayed(TimePoint aNow) const;

  double mSum = 0; /**< Decayed count of events. */
  TimePoint mFirstAt{};
  TimePoint mLastAt{};
};

} // namespace skylarkchute
