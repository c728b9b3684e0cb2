#pragma once

#include "../evidence/RollShare.h"

#include <skylarkchute_core/skylarkchute_core.h>

#include <vector>

namespace skylarkchute {

/** The calls, share updates and events that result from one input to a RollDriver. */
struct RollDriverOutput
{
  std::vector<ObjectCall> mCalls;
  bool mSharesChanged = false;    /**< The shares differ from those last reported. */
  std::vector<RollShare> mShares; /**< Of all rolls of the bundle in force; set if changed. */
  std::vector<LogEvent> mEvents;
};

} // namespace skylarkchute
