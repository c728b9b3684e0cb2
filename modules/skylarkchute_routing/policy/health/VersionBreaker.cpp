#include "VersionBreaker.h"

#include <algorithm>
#include <bit>

namespace skylarkchute {

namespace {

/** Failures among the latest attempts that open the breaker. */
constexpr int kFailures = 2;
constexpr std::uint32_t kHistoryMask = 0xF;
constexpr std::chrono::milliseconds kFirstPause{ 5000 };
constexpr std::chrono::milliseconds kLongestPause{ 10000 };

} // namespace

bool VersionBreaker::Allows(TimePoint aNow)
{
  if (!mOpen) {
    return true;
  }
  if (aNow < mNextProbe) {
    return false;
  }
  mNextProbe = aNow + mPause;
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
  if (std::popcount(mHistory) >= kFailures) {
    Open(aNow);
  }
}

void VersionBreaker::Open(TimePoint aNow)
{
  mPause = mOpen ? std::min(mPause * 2, kLongestPause) : kFirstPause;
  mOpenCount += mOpen ? 0 : 1;
  mOpen = true;
  mNextProbe = aNow + mPause;
}

} // namespace skylarkchute
