#include "VersionBreaker.h"

#include <algorithm>
#include <bit>

namespace skylarkchute {

namespace {

/** Failures among the last four attempts that open the breaker. */
constexpr int kFailuresToOpen = 2;
/** Limits the history to the last four attempts. */
constexpr std::uint32_t kHistoryMask = 0xF;
constexpr std::chrono::milliseconds kInitialProbeInterval{ 5000 };
constexpr std::chrono::milliseconds kMaxProbeInterval{ 10000 };

} // namespace

bool VersionBreaker::Allows(TimePoint aNow)
{
  if (!mOpen) {
    return true;
  }
  if (aNow < mNextProbe) {
    return false;
  }
  mNextProbe = aNow + mProbeInterval;
  return true;
}

void VersionBreaker::Report(bool aFailed, TimePoint aNow)
{
  mHistory = ((mHistory << 1U) | (aFailed ? 1U : 0U)) & kHistoryMask;
  if (mOpen) {
    if (aFailed) {
      Open(aNow);
      return;
    }
    mOpen = false;
    mHistory = 0;
    return;
  }
  if (std::popcount(mHistory) >= kFailuresToOpen) {
    Open(aNow);
  }
}

void VersionBreaker::Open(TimePoint aNow)
{
  mProbeInterval = mOpen ? std::min(mProbeInterval * 2, kMaxProbeInterval) : kInitialProbeInterval;
  mOpenCount += mOpen ? 0 : 1;
  mOpen = true;
  mNextProbe = aNow + mProbeInterval;
}

} // namespace skylarkchute
