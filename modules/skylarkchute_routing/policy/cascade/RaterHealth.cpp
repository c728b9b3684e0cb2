#include "RaterHealth.h"

#include <algorithm>

namespace skylarkchute {

namespace {

constexpr std::uint32_t kTimeoutsToOpen = 3;
constexpr std::chrono::milliseconds kInitialProbeInterval{ 2000 };
constexpr std::chrono::milliseconds kMaxProbeInterval{ 30000 };

} // namespace

bool RaterHealth::MayWait(TimePoint aNow)
{
  if (!mDown) {
    return true;
  }
  if (aNow < mNextProbe) {
    return false;
  }
  mNextProbe = aNow + mProbeInterval;
  return true;
}

void RaterHealth::OnRating()
{
  mConsecutiveTimeouts = 0;
  mDown = false;
  mProbeInterval = std::chrono::milliseconds(0);
}

void RaterHealth::OnTimeout(TimePoint aNow)
{
  ++mConsecutiveTimeouts;
  if (mConsecutiveTimeouts < kTimeoutsToOpen) {
    return;
  }
  mDown = true;
  mProbeInterval = std::clamp(mProbeInterval * 2, kInitialProbeInterval, kMaxProbeInterval);
  mNextProbe = aNow + mProbeInterval;
}

} // namespace skylarkchute
