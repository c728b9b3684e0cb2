#pragma once

#include "Timeline.h"

#include <deque>
#include <map>

namespace skylarkchute {

/** One job of a FakeEngine. */
struct EngineJob
{
  AttemptId mAttempt;
  std::chrono::microseconds mFirstToken{ 0 }; /**< From its start in a slot. */
  std::chrono::microseconds mDuration{ 0 };   /**< From its start in a slot. */
  std::function<void()> mOnStart;
  std::function<void()> mOnFirstToken;
  std::function<void()> mOnEnd;
};

/** An engine with a fixed number of slots and a bounded first-in, first-out queue. */
class FakeEngine
{
public:
  FakeEngine(Timeline& aTimeline, std::uint32_t aSlots) : mTimeline(aTimeline), mSlots(aSlots) {}

  /** Queues a job or starts it in a free slot.
      @returns false if the queue is full; the job is dropped then */
  bool Submit(EngineJob aJob);

  /** Removes a running or queued job without calling its callbacks. */
  void Cancel(const AttemptId& aAttempt);

  /** Removes all jobs without calling their callbacks.
      @returns the attempts of the removed jobs */
  std::vector<AttemptId> Crash();

  std::uint32_t Running() const { return static_cast<std::uint32_t>(mRunning.size()); }

  std::uint32_t Queued() const { return static_cast<std::uint32_t>(mQueue.size()); }

private:
  void StartNext();
  void Run(const EngineJob& aJob);
  bool IsRunning(const AttemptId& aAttempt, std::uint64_t aStartId) const;

  Timeline& mTimeline;
  std::uint32_t mSlots;
  std::uint64_t mNextStartId = 0;
  /** Start number of each running attempt; timers of an earlier start are ignored. */
  std::map<AttemptId, std::uint64_t> mRunning;
  std::deque<EngineJob> mQueue;
};

} // namespace skylarkchute
