#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

namespace skylarkchute {

/** Estimates wall clock time from monotonic time, between updates that give both. */
class WallClockEstimate
{
public:
  /** Sets the readings of both clocks at one moment. */
  void Update(TimePoint aNow, WallTime aWallNow)
  {
    mNow = aNow;
    mWallNow = aWallNow;
    mKnown = true;
  }

  /** Returns the wall clock time at @p aNow. Before the first update it returns the Unix epoch, at
      which no register has expired. */
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
