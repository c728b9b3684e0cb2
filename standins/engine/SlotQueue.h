#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <set>
#include <utility>

namespace skylarkchute::standins {

/** Gives a limited number of slots to requests by priority, then by arrival. */
class SlotQueue
{
public:
  SlotQueue(std::uint32_t aSlots, std::uint32_t aMaxQueued);

  /** Waits for a slot. @returns false at once when the queue is full */
  bool Take(std::uint32_t aPriority);

  /** Gives a slot back. */
  void GiveBack();

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
