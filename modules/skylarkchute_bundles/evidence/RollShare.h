#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace skylarkchute {

/** Share of the traffic of a rolling version, as the roll object gives it. */
struct RollShare
{
  RollName mRoll;
  double mPercent = 0;
  bool mWithdrawn = false;
};

} // namespace skylarkchute
