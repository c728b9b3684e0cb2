#include "Timeline.h"

namespace skylarkchute {

void Timeline::After(std::chrono::microseconds aDelay, Callback aCallback)
{
  const auto delay = std::max(aDelay, std::chrono::microseconds(0));
  mEntries.push({ Now() + delay, mNextOrder++, std::move(aCallback) });
}

void Timeline::RunUntil(TimePoint aEnd)
{
  while (!mEntries.empty() && mEntries.top().mTime <= aEnd) {
    auto entry = mEntries.top();
    mEntries.pop();
    mClock.Advance(entry.mTime - Now());
    entry.mCallback();
  }
  mClock.Advance(aEnd - Now());
}

} // namespace skylarkchute
