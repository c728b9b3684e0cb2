#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <algorithm>
#include <chrono>

namespace skylarkchute {

/** A token bucket that holds one second of its rate, at least one unit. */
class TokenBucket
{
public:
  /** Sets the rate in units per second. A new bucket is full; later changes keep the
      units gathered so far, up to the new size. */
  void SetRate(double aPerSecond, TimePoint aNow)
  {
    const bool first = mFilled == TimePoint{};
    Refill(aNow);
    mRate = aPerSecond;
    mLevel = first ? Size() : std::min(mLevel, Size());
  }

  /** Returns whether @p aUnits can be taken. More than the size counts as the size. */
  bool Has(double aUnits, TimePoint aNow)
  {
    Refill(aNow);
    return mRate > 0 && mLevel >= std::min(aUnits, Size());
  }

  /** Takes units; the level may become negative. A bucket without a rate stays as it is. */
  void Take(double aUnits) { mLevel -= mRate > 0 ? aUnits : 0; }

  /** Gives units back. */
  void Give(double aUnits) { mLevel = std::min(mLevel + aUnits, Size()); }

  /** Returns how long until @p aUnits can be taken; an hour when they never can. */
  std::chrono::milliseconds Wait(double aUnits) const
  {
    if (mRate <= 0) {
      return std::chrono::hours(1);
    }
    const double missing = std::max(0.0, std::min(aUnits, Size()) - mLevel);
    return std::chrono::milliseconds(static_cast<std::int64_t>(missing / mRate * 1000) + 1);
  }

private:
  double Size() const { return std::max(1.0, mRate); }

  void Refill(TimePoint aNow)
  {
    if (mFilled != TimePoint{} && aNow > mFilled) {
      const auto elapsed = std::chrono::duration<double>(aNow - mFilled).count();
      mLevel = std::min(mLevel + elapsed * mRate, Size());
    }
    mFilled = std::max(mFilled, aNow);
  }

  double mRate = 0;
  double mLevel = 0;
  TimePoint mFilled{};
};

} // namespace skylarkchute
