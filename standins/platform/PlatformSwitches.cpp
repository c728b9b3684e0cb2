#include "PlatformSwitches.h"

namespace skylarkchute::standins {

PlatformFaults PlatformSwitches::Faults() const
{
  const std::lock_guard lock(mMutex);
  return mFaults;
}

void PlatformSwitches::SetFaults(const PlatformFaults& aFaults)
{
  const std::lock_guard lock(mMutex);
  mFaults = aFaults;
}

PlatformCounters PlatformSwitches::Counters() const
{
  const std::lock_guard lock(mMutex);
  return mCounters;
}

bool PlatformSwitches::AdmitRead()
{
  const std::lock_guard lock(mMutex);
  return Admit(mCounters.mReads, mReadsInWindow, mFaults.mReadsPerSecond);
}

bool PlatformSwitches::AdmitWrite()
{
  const std::lock_guard lock(mMutex);
  return Admit(mCounters.mWrites, mWritesInWindow, mFaults.mWritesPerSecond);
}

void PlatformSwitches::CountWatch()
{
  const std::lock_guard lock(mMutex);
  ++mCounters.mWatches;
}

void PlatformSwitches::CountRefused()
{
  const std::lock_guard lock(mMutex);
  ++mCounters.mRefused;
}

bool PlatformSwitches::ConsumeLostAnswer()
{
  const std::lock_guard lock(mMutex);
  if (mFaults.mLostAnswers == 0) {
    return false;
  }
  --mFaults.mLostAnswers;
  ++mCounters.mLost;
  return true;
}

bool PlatformSwitches::Admit(std::uint64_t& aCounter,
                             std::uint32_t& aUsedInWindow,
                             std::uint32_t aLimit)
{
  const auto now = std::chrono::steady_clock::now();
  if (now - mWindowStart >= std::chrono::seconds(1)) {
    mWindowStart = now;
    mReadsInWindow = 0;
    mWritesInWindow = 0;
  }
  ++aCounter;
  if (aUsedInWindow >= aLimit) {
    ++mCounters.mThrottled;
    return false;
  }
  ++aUsedInWindow;
  return true;
}

} // namespace skylarkchute::standins
