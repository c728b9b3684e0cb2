#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <algorithm>
#include <chrono>

namespace skylarkchute {

/** A token bucket whose capacity is one second of its rate, but at least one unit and at least the
    minimum burst. */
class TokenBucket
{
public:
  /** Sets the rate in units per second. The first call fills the bucket with one second of the
     rate, but at least one unit; later calls keep its level, up to the new capacity. */
  void SetRate(double aPerSecond, TimePoint aNow)
  {
    const bool first = mRefilledAt == TimePoint{};
    Refill(aNow);
    mRate = aPerSecond;
    mLevel = first ? std::max(1.0, mRate) : std::min(mLevel, Capacity());
  }

  /** Sets the minimum capacity. It changes no level: a larger capacity is filled at the rate. */
  void SetMinBurst(double aUnits) { mMinBurst = aUnits; }

  /** Returns whether @p aUnits can be taken. Amounts above the capacity count as the capacity. */
  bool Has(double aUnits, TimePoint aNow)
  {
    Refill(aNow);
    return mRate > 0 && mLevel >= std::min(aUnits, Capacity());
  }

  /** Takes units; the level may become negative. Does nothing if the rate is zero. */
  void Take(double aUnits) { mLevel -= mRate > 0 ? aUnits : 0; }

  /** Removes all units. */
  void Empty() { mLevel = std::min(mLevel, 0.0); }

  /** Returns units to the bucket, up to its capacity. */
  void Refund(double aUnits) { mLevel = std::min(mLevel + aUnits, Capacity()); }

  /** Returns the time until @p aUnits can be taken; one hour if the rate is zero. */
  std::chrono::milliseconds Wait(double aUnits) const
  {
    if (mRate <= 0) {
      return std::chrono::hours(1);
    }
    const double missing = std::max(0.0, std::min(aUnits, Capacity()) - mLevel);
    return std::chrono::milliseconds(static_cast<std::int64_t>(missing / mRate * 1000) + 1);
  }

private:
  double Capacity() const { return std::max({ 1.0, mRate, mMinBurst }); }

  void Refill(TimePoint aNow)
  {
    if (mRefilledAt != TimePoint{} && aNow > mRefilledAt) {
      const auto elapsed = std::chrono::duration<double>(aNow - mRefilledAt).count();
      mLevel = std::min(mLevel + elapsed * mRate, Capacity());
    }
    mRefilledAt = std::max(mRefilledAt, aNow);
  }

  double mRate = 0;     /**< Units per second. */
  double mMinBurst = 0; /**< Units. */
  double mLevel = 0;    /**< Units. */
  TimePoint mRefilledAt{};
};

} // namespace skylarkchute
