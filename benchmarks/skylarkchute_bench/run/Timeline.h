#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <functional>
#include <queue>
#include <vector>

namespace skylarkchute {

/** Callbacks in the order of their time, then of their scheduling, on one manual clock. */
class Timeline
{
public:
  using Callback = std::function<void()>;

  /** Returns the current time. */
  TimePoint Now() const { return mClock.Now(); }

  /** Calls @p aCallback after a delay of at least zero. */
  void After(std::chrono::microseconds aDelay, Callback aCallback);

  /** Runs every callback that is due up to @p aEnd, then stands at @p aEnd. */
  void RunUntil(TimePoint aEnd);

private:
  struct Entry
  {
    TimePoint mTime;
    std::uint64_t mOrder;
    Callback mCallback;

    bool operator<(const Entry& aOther) const
    {
      return mTime != aOther.mTime ? mTime > aOther.mTime : mOrder > aOther.mOrder;
    }
  };

  ManualClock mClock;
  std::uint64_t mNextOrder = 0;
  std::priority_queue<Entry> mEntries;
};

} // namespace skylarkchute
