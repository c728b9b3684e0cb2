#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <functional>
#include <queue>
#include <vector>

namespace skylarkchute {

/** A discrete-event scheduler on a manual clock. Callbacks that are due at the same time run in the
    order in which they were scheduled. */
class Timeline
{
public:
  using Callback = std::function<void()>;

  TimePoint Now() const { return mClock.Now(); }

  /** Schedules @p aCallback after @p aDelay; a negative delay counts as zero. */
  void After(std::chrono::microseconds aDelay, Callback aCallback);

  /** Runs all callbacks that are due by @p aEnd, including those that they schedule, then sets the
      clock to @p aEnd. */
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
