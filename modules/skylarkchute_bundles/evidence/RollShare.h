#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace skylarkchute {

/** Traffic share of a rolling version, as stored in its roll object. */
struct RollShare
{
  RollName mRoll;
  double mPercent = 0;
  bool mWithdrawn = false;
};

} // namespace skylarkchute
