#pragma once

#include "../evidence/RollShare.h"

#include <skylarkchute_core/skylarkchute_core.h>

#include <vector>

namespace skylarkchute {

/** What a RollDriver wants done after an input. */
struct RollDriverOutput
{
  std::vector<ObjectCall> mCalls;
  bool mSharesChanged = false;    /**< mShares differs from the last ones given. */
  std::vector<RollShare> mShares; /**< Of all rolls of the bundle in force, when changed. */
  std::vector<LogEvent> mEvents;
};

} // namespace skylarkchute
