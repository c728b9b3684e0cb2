#pragma once

#include <chrono>

namespace skylarkchute {

/** Monotonic time, valid within one process. */
using TimePoint = std::chrono::steady_clock::time_point;

/** Wall-clock time, the same on all instances up to clock error. */
using WallTime = std::chrono::system_clock::time_point;

/** Source of time. Decision logic does not read it: its callers pass the current time with each
    event. */
class Clock
{
public:
  virtual ~Clock() = default;

  /** Returns the current monotonic time. */
  virtual TimePoint Now() const = 0;

  /** Returns the current wall-clock time. */
  virtual WallTime WallNow() const = 0;
};

} // namespace skylarkchute
