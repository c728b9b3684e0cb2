#pragma once

#include <chrono>

namespace skylarkchute {

/** A point on the monotonic time line of one process. */
using TimePoint = std::chrono::steady_clock::time_point;

/** A point on the civil time line, shared by all instances up to clock error. */
using WallTime = std::chrono::system_clock::time_point;

/** Source of time. Decisions never read it; drivers pass its readings with each event. */
class Clock
{
public:
  virtual ~Clock() = default;

  /** Returns the monotonic time. */
  virtual TimePoint Now() const = 0;

  /** Returns the civil time. */
  virtual WallTime WallNow() const = 0;
};

} // namespace skylarkchute
