#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <cstdint>

namespace skylarkchute {

/** Circuit breaker of one instance for a rolling version. Opens after two errors or timeouts among
    the last four attempts.

    While it is open, the version being replaced answers instead. Since it affects one instance only
    and closes after a successful probe, it may react much faster than a withdrawal. */
class VersionBreaker
{
public:
  /** Returns whether a request may use the version. While the breaker is open, true lets one probe
      through; the next follows after the probe interval. */
  bool Allows(TimePoint aNow);

  /** Records the result of an attempt on the version.
      @param aFailed  whether it ended with an error or a timeout */
  void Report(bool aFailed, TimePoint aNow);

  /** Returns whether the breaker is open, which includes waiting for the result of a probe. */
  bool IsOpen() const { return mOpen; }

  /** Returns how often the breaker has opened; failed probes do not count. */
  std::uint32_t OpenCount() const { return mOpenCount; }

private:
  void Open(TimePoint aNow);

  std::uint32_t mHistory = 0; /**< One bit per attempt, the latest in bit 0; set if it failed. */
  bool mOpen = false;
  TimePoint mNextProbe{};
  std::chrono::milliseconds mProbeInterval{ 0 };
  std::uint32_t mOpenCount = 0;
};

} // namespace skylarkchute
