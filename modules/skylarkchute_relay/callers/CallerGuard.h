#pragma once

#include "CallerBudget.h"

#include <memory>

namespace skylarkchute {

/** Limits on what untrusted callers may take, from section `[callers]` of the settings. */
struct CallerGuardLimits
{
  static constexpr std::size_t kDefaultBytes = 24 * 1024 * 1024;
  static constexpr std::size_t kDefaultConnections = 1024;
  static constexpr std::uint32_t kDefaultHeaderLines = 128;
  static constexpr std::uint32_t kDefaultBodyRate = 512;

  CallerBudget::Bounds mBounds{ kDefaultBytes, kDefaultConnections };
  std::uint32_t mHeaderLines = kDefaultHeaderLines; /**< Of a request, with those of its trailer. */
  std::uint32_t mBodyRate = kDefaultBodyRate;       /**< Least bytes per second of a body, over each
                                                         idle timeout. */
};

/** The limits and what the callers' connections take of them at the moment. */
struct CallerGuard
{
  explicit CallerGuard(CallerGuardLimits aLimits = {}) : mLimits(aLimits), mBudget(aLimits.mBounds)
  {
  }

  CallerGuardLimits mLimits;
  CallerBudget mBudget;
};

} // namespace skylarkchute
