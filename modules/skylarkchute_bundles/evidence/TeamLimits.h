#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace skylarkchute {

/** Limits in force on this instance for one team: its share of the fleet-wide limit. */
struct LimitShare
{
  TeamName mTeam;
  double mRequestsPerSecond = 0;
  double mTokensPerSecond = 0;
};

/** Demand of one team at this instance, for the split of fleet-wide limits. */
struct TeamDemand
{
  TeamName mTeam;
  double mRequestsPerSecond = 0;
  double mTokensPerSecond = 0;
};

} // namespace skylarkchute
