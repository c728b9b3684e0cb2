#pragma once

#include "Timeline.h"

#include <deque>
#include <map>

namespace skylarkchute {

/** One job at a fake endpoint. */
struct EngineJob
{
  AttemptId mAttempt;
  std::chrono::microseconds mFirstToken{ 0 }; /**< From its start in a slot. */
  std::chrono::microseconds mDuration{ 0 };   /**< From its start in a slot. */
  std::function<void()> mOnStart;
  std::function<void()> mOnFirstToken;
  std::function<void()> mOnEnd;
};

/** An endpoint with slots and a queue in order of arrival. */
class FakeEngine
{
public:
  FakeEngine(Timeline& aTimeline, std::uint32_t aSlots) : mTimeline(aTimeline), mSlots(aSlots) {}

  /** Takes a job, or returns false when the queue is full. */
  bool Submit(EngineJob aJob);

  /** Drops a job, running or queued. */
  void Cancel(const AttemptId& aAttempt);

  /** Drops every job. Returns their attempts. */
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
  std::map<AttemptId, std::uint64_t> mRunning;
  std::deque<EngineJob> mQueue;
};

} // namespace skylarkchute
