#pragma once

#include <algorithm>

namespace skylarkchute {

/** Limits the retries and hedges of a class: each first attempt earns a fraction of one. Up to 10
    can accumulate, to cover the loss of an endpoint. */
class RetryBudget
{
public:
  /** Records the start of a first attempt. */
  void OnFirstAttempt() { mUnits = std::min(mUnits + kEarnedPerFirstAttempt, kMaxUnits); }

  /** Records the end of an attempt. While most attempts fail, retries do not help, and the
      accumulated units are reduced to at most one. */
  void OnOutcome(bool aFailed)
  {
    mFailureRate += kFailureWeight * ((aFailed ? 1 : 0) - mFailureRate);
    if (mFailureRate > kMostlyFailingRate) {
      mUnits = std::min(mUnits, 1.0);
    }
  }

  /** Takes the budget for one retry or hedge. @returns false if the budget is exhausted */
  bool Take()
  {
    if (mUnits < 1) {
      return false;
    }
    mUnits -= 1;
    return true;
  }

private:
  /** Below 0.1, so that 1000 first attempts and the initial kMaxUnits together lead to at most 1.1
      attempts per request. */
  static constexpr double kEarnedPerFirstAttempt = 0.08;
  static constexpr double kMaxUnits = 10;

  /** Weight of one attempt in the moving average. */
  static constexpr double kFailureWeight = 0.25;
  static constexpr double kMostlyFailingRate = 0.5;

  double mFailureRate = 0;   /**< Exponential moving average over attempts, 0 to 1. */
  double mUnits = kMaxUnits; /**< Retries and hedges available. */
};

} // namespace skylarkchute
