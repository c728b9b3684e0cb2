#pragma once

#include "../callers/CallerGuard.h"

#include <cstddef>

namespace skylarkchute {

/** Section `[callers]` of a relay's settings. @see docs/SETTINGS.md */
struct CallerSettings
{
  std::uint32_t mMemoryMb = 0; /**< Of the machine; zero if not stated. */
  std::uint32_t mDescriptors =
    0; /**< That the process may open; zero for what the system allows. */
  std::uint32_t mConnections = 0; /**< Of callers; zero to derive them from the descriptors. */
  std::uint32_t mHeaderLines = CallerGuardLimits::kDefaultHeaderLines;
  std::uint32_t mBodyRate = CallerGuardLimits::kDefaultBodyRate;

  /** Returns the limits for callers' connections and those of forwarded requests. */
  CallerGuardLimits Limits() const;

  /** Returns the most connections of one of the addresses for peers, readiness and metrics. */
  std::size_t ControlConnections() const;

private:
  std::size_t Descriptors() const;
};

} // namespace skylarkchute
