#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <set>
#include <utility>

namespace skylarkchute::standins {

/** Grants a limited number of slots to requests, highest priority first, then in order of arrival.
    Safe to use from several threads. */
class SlotQueue
{
public:
  /** @param aSlots      number of requests that run concurrently, above zero
      @param aMaxQueued  maximum number of requests that wait for a slot */
  SlotQueue(std::uint32_t aSlots, std::uint32_t aMaxQueued);

  /** Waits for a slot. A higher @p aPriority is served first.
      @returns false without waiting if no slot is free and the queue is full */
  bool AcquireSlot(std::uint32_t aPriority);

  /** Releases a slot that AcquireSlot() granted. */
  void ReleaseSlot();

  std::uint32_t Running() const;
  std::uint32_t Queued() const;
  std::uint32_t Slots() const { return mSlots; }

private:
  struct Waiter
  {
    std::uint32_t mPriority;
    std::uint64_t mArrival;

    friend bool operator<(const Waiter& aLeft, const Waiter& aRight)
    {
      return aLeft.mPriority != aRight.mPriority ? aLeft.mPriority > aRight.mPriority
                                                 : aLeft.mArrival < aRight.mArrival;
    }
  };

  std::uint32_t mSlots;
  std::uint32_t mMaxQueued;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::set<Waiter> mWaiters;
  std::uint64_t mArrivals = 0;
  std::uint32_t mRunning = 0;
};

} // namespace skylarkchute::standins
