#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

namespace skylarkchute {

/** Derives civil time from monotonic time between ticks that carry both. */
class WallClockEstimate
{
public:
  /** Takes in a pair of readings of the two clocks. */
  void Update(TimePoint aNow, WallTime aWallNow)
  {
    mNow = aNow;
    mWallNow = aWallNow;
    mKnown = true;
  }

  /** Returns the civil time at @p aNow, or the epoch before the first update: nothing has expired
      then. */
  WallTime At(TimePoint aNow) const
  {
    if (!mKnown) {
      return WallTime{};
    }
    return mWallNow + std::chrono::duration_cast<WallTime::duration>(aNow - mNow);
  }

private:
  TimePoint mNow;
  WallTime mWallNow;
  bool mKnown = false;
};

} // namespace skylarkchute
