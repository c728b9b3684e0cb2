#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <array>
#include <chrono>
#include <cstdint>

namespace skylarkchute {

/** The bound that all instances together keep for repeated arrivals at a service. */
struct RetryBound
{
  double mRatio = 0;                      /**< Repeats a request. */
  double mSlack = 0;                      /**< Further repeats in a window. */
  std::chrono::milliseconds mWindow{ 0 }; /**< Any span of this length counts. */
};

/** This instance's part of the retry bound of one service.

    Answers a service whose attempts all fail: arrivals stay a fixed multiple of the requests,
    whatever the other instances do, since each earns repeats by its own requests only and the slack
    is divided. */
class RetryWindow
{
public:
  /** Counts a first attempt. */
  void OnFirst(TimePoint aNow, const RetryBound& aBound);

  /** Takes one repeat.
      @param aInstances  instances that share the slack
      @returns false when the window has no room */
  bool Take(TimePoint aNow, const RetryBound& aBound, std::size_t aInstances);

  /** Repeats of a window, and how many it has room for altogether. */
  struct Use
  {
    double mRepeats = 0;
    double mRoom = 0;
  };

  /** Returns the use of the window that ends now. */
  Use UseAt(TimePoint aNow, const RetryBound& aBound, std::size_t aInstances) const;

private:
  static constexpr std::size_t kSlices = 10;

  struct Slice
  {
    std::int64_t mNumber = -1;
    std::uint32_t mFirsts = 0;
    std::uint32_t mRepeats = 0;
  };

  static std::int64_t NumberAt(TimePoint aNow, const RetryBound& aBound);
  Slice& Current(TimePoint aNow, const RetryBound& aBound);

  std::array<Slice, kSlices + 1> mSlices;
};

} // namespace skylarkchute
