#pragma once

#include "Clock.h"

namespace skylarkchute {

/** The clock of the operating system. */
class SystemClock final : public Clock
{
public:
  TimePoint Now() const override { return std::chrono::steady_clock::now(); }

  WallTime WallNow() const override { return std::chrono::system_clock::now(); }
};

} // namespace skylarkchute
