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
  static constexpr double kEarned = 0.09;
  static constexpr double kMost = 10;

  double mUnits = kMost;
};

} // namespace skylarkchute
