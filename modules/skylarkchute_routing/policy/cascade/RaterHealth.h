#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <cstdint>

namespace skylarkchute {

/** Circuit breaker for the rating service. Opens after three consecutive ratings did not arrive in
    time, then allows one probe at intervals that double from 2 s to 30 s. */
class RaterHealth
{
public:
  /** Returns whether an answer may be held for its rating. While the service is down, true lets one
      answer through as a probe. */
  bool MayWait(TimePoint aNow);

  /** Records a rating that arrived in time; closes the breaker. */
  void OnRating();

  /** Records a rating that did not arrive in time. */
  void OnTimeout(TimePoint aNow);

  /** Returns whether the rating service is considered down. */
  bool IsDown() const { return mDown; }

private:
  std::uint32_t mConsecutiveTimeouts = 0;
  bool mDown = false;
  TimePoint mNextProbe{};
  std::chrono::milliseconds mProbeInterval{ 0 };
};

} // namespace skylarkchute
