#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <cstdint>

namespace skylarkchute {

/** Stops one instance from using a rolling version after a few plain failures.

    The stop is local and ends by itself with a probe, so it may be much quicker than a withdrawal:
    while it lasts, the replaced version answers instead. */
class VersionBreaker
{
public:
  /** Returns whether a request may use the version. After a stop lets one probe through at a time.
   */
  bool Allows(TimePoint aNow);

  /** Reports an attempt on the version: an error or timeout counts as a failure. */
  void Report(bool aFailed, TimePoint aNow);

  /** Returns whether the version is stopped, or is being probed. */
  bool IsOpen() const { return mOpen; }

  /** Returns how often the breaker opened. */
  std::uint32_t OpenCount() const { return mOpenCount; }

private:
  void Open(TimePoint aNow);

  std::uint32_t mHistory = 0; /**< One bit an attempt, the latest lowest; set when failed. */
  bool mOpen = false;
  TimePoint mNextProbe{};
  std::chrono::milliseconds mPause{ 0 };
  std::uint32_t mOpenCount = 0;
};

} // namespace skylarkchute
