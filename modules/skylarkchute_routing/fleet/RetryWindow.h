#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <array>
#include <chrono>
#include <cstdint>

namespace skylarkchute {

/** Limit on the retries that all instances together send to a service. */
struct RetryBound
{
  double mRatio = 0;                      /**< Retries per request. */
  double mSlack = 0;                      /**< Additional retries per window. */
  std::chrono::milliseconds mWindow{ 0 }; /**< Sliding window in which the limit holds. */
};

/** Retry budget of one service: this instance's share of the limit.

    Bounds the load when all attempts of a service fail. Attempts stay within a fixed multiple of
    the requests regardless of the other instances, because each instance earns retries only through
    its own requests and the slack is divided equally among the instances. */
class RetryWindow
{
public:
  /** Counts a first attempt. */
  void OnFirstAttempt(TimePoint aNow, const RetryBound& aBound);

  /** Takes one retry from the budget.
      @param aInstances  number of instances that share the slack
      @returns false if the budget of the window is spent */
  bool TakeRetry(TimePoint aNow, const RetryBound& aBound, std::size_t aInstances);

  /** Takes one hedge from the budget. Hedges leave half of it, so that retries find some.
      @returns false if half of the budget of the window is spent */
  bool TakeHedge(TimePoint aNow, const RetryBound& aBound, std::size_t aInstances);

  /** Retries of a window and the most that it allows. */
  struct Usage
  {
    double mRepeats = 0;
    double mRetryLimit = 0;
  };

  /** Returns the usage of the window that ends at @p aNow. */
  Usage UsageAt(TimePoint aNow, const RetryBound& aBound, std::size_t aInstances) const;

private:
  static constexpr std::size_t kSlices = 10;

  struct Slice
  {
    std::int64_t mNumber = -1;
    std::uint32_t mFirstAttempts = 0;
    std::uint32_t mRepeats = 0;
  };

  bool Take(TimePoint aNow, const RetryBound& aBound, std::size_t aInstances, double aFraction);
  static std::int64_t SliceNumberAt(TimePoint aNow, const RetryBound& aBound);
  Slice& Current(TimePoint aNow, const RetryBound& aBound);

  std::array<Slice, kSlices + 1> mSlices;
};

} // namespace skylarkchute
