#include "SlotQueue.h"

#include <cassert>

namespace skylarkchute::standins {

SlotQueue::SlotQueue(std::uint32_t aSlots, std::uint32_t aMaxQueued)
  : mSlots(aSlots)
  , mMaxQueued(aMaxQueued)
{
  assert(aSlots > 0);
}

bool SlotQueue::AcquireSlot(std::uint32_t aPriority)
{
  std::unique_lock lock(mMutex);
  if (mRunning >= mSlots && mWaiters.size() >= mMaxQueued) {
    return false;
  }
  const auto self = mWaiters.insert({ aPriority, ++mArrivals }).first;
  mChanged.wait(lock, [&] { return mRunning < mSlots && mWaiters.begin() == self; });
  mWaiters.erase(self);
  ++mRunning;
  mChanged.notify_all();
  return true;
}

void SlotQueue::ReleaseSlot()
{
  const std::lock_guard lock(mMutex);
  assert(mRunning > 0);
  --mRunning;
  mChanged.notify_all();
}

std::uint32_t SlotQueue::Running() const
{
  const std::lock_guard lock(mMutex);
  return mRunning;
}

std::uint32_t SlotQueue::Queued() const
{
  const std::lock_guard lock(mMutex);
  return static_cast<std::uint32_t>(mWaiters.size());
}

} // namespace skylarkchute::standins
