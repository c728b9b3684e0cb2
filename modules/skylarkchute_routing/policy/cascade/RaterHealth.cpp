#include "RaterHealth.h"

#include <algorithm>

namespace skylarkchute {

namespace {

constexpr std::uint32_t kMissesToOpen = 3;
constexpr std::chrono::milliseconds kFirstPause{ 2000 };
constexpr std::chrono::milliseconds kLongestPause{ 30000 };

} // namespace

bool RaterHealth::MayWait(TimePoint aNow)
{
  if (!mDown) {
    return true;
  }
  if (aNow < mNextTrial) {
    return false;
  }
  mNextTrial = aNow + mPause;
  return true;
}

void RaterHealth::ReportInTime()
{
  mMisses = 0;
  mDown = false;
  mPause = std::chrono::milliseconds(0);
}

void RaterHealth::ReportMissed(TimePoint aNow)
{
  ++mMisses;
  if (mMisses < kMissesToOpen) {
    return;
  }
  mDown = true;
  mPause = std::clamp(mPause * 2, kFirstPause, kLongestPause);
  mNextTrial = aNow + mPause;
}

} // namespace skylarkchute
