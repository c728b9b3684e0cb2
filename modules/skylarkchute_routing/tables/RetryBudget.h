#pragma once

#include <algorithm>

namespace skylarkchute {

/** Bounds the second attempts of a class: each first attempt earns a fraction of one, and a small
    store bridges the loss of an endpoint. */
class RetryBudget
{
public:
  /** Counts a first attempt. */
  void OnFirstAttempt() { mUnits = std::min(mUnits + kEarned, kMost); }

  /** Counts the end of an attempt. While most fail, the store is of no use and is dropped. */
  void OnOutcome(bool aFailed)
  {
    mFailureRate += kFailureWeight * ((aFailed ? 1 : 0) - mFailureRate);
    if (mFailureRate > kMostlyFailing) {
      mUnits = std::min(mUnits, 1.0);
    }
  }

  /** Takes one second attempt. @returns false when the budget is spent */
  bool Take()
  {
    if (mUnits < 1) {
      return false;
    }
    mUnits -= 1;
    return true;
  }

private:
  /** Below a tenth, so that the store is included in an amplification of 1.1 over a thousand. */
  static constexpr double kEarned = 0.08;
  static constexpr double kMost = 10;

  static constexpr double kFailureWeight = 0.25;
  static constexpr double kMostlyFailing = 0.5;

  double mFailureRate = 0; /**< Moving average over attempts. */
  double mUnits = kMost;
};

} // namespace skylarkchute
