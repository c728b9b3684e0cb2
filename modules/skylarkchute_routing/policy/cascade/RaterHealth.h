#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <cstdint>

namespace skylarkchute {

/** Follows whether the rating service answers in time. Opens after a few misses in a row and lets
    one trial through at growing intervals. */
class RaterHealth
{
public:
  /** Returns whether an answer may wait for its rating. */
  bool MayWait(TimePoint aNow);

  /** Reports a rating that came in time. */
  void ReportInTime();

  /** Reports a rating that did not come in time. */
  void ReportMissed(TimePoint aNow);

  /** Returns whether the rating service counts as down. */
  bool IsDown() const { return mDown; }

private:
  std::uint32_t mMisses = 0;
  bool mDown = false;
  TimePoint mNextTrial{};
  std::chrono::milliseconds mPause{ 0 };
};

} // namespace skylarkchute
