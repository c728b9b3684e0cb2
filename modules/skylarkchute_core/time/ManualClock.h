#pragma once

#include "Clock.h"

namespace skylarkchute {

/** A clock for tests that changes only when it is advanced. */
class ManualClock final : public Clock
{
public:
  TimePoint Now() const override { return mNow; }

  WallTime WallNow() const override { return mWallNow; }

  /** Advances the monotonic and the wall-clock time by @p aStep. */
  void Advance(std::chrono::nanoseconds aStep)
  {
    mNow += std::chrono::duration_cast<TimePoint::duration>(aStep);
    mWallNow += std::chrono::duration_cast<WallTime::duration>(aStep);
  }

private:
  TimePoint mNow{ std::chrono::hours(1) };
  WallTime mWallNow{ std::chrono::hours(24 * 365 * 50) };
};

} // namespace skylarkchute
