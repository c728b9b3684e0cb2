#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

namespace skylarkchute {

/** The time of one event, on the monotonic clock and on the wall clock. */
struct NodeTime
{
  TimePoint mNow; /**< Monotonic; for time limits and periods. */
  WallTime mWall; /**< For expiry times and records that other instances read. */
};

} // namespace skylarkchute
