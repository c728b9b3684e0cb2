#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace skylarkchute {

/** This instance's share of the fleet-wide limits of one team. */
struct LimitShare
{
  TeamName mTeam;
  double mRequestsPerSecond = 0;
  double mTokensPerSecond = 0;
};

/** Demand of one team at this instance; fleet-wide limits are divided by demand. */
struct TeamDemand
{
  TeamName mTeam;
  double mRequestsPerSecond = 0;
  double mTokensPerSecond = 0;
};

} // namespace skylarkchute
