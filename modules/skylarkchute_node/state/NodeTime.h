#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

namespace skylarkchute {

/** The time of one event on both time lines. */
struct NodeTime
{
  TimePoint mNow;
  WallTime mWall;
};

} // namespace skylarkchute
