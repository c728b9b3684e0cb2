#include "FakeEngine.h"

#include <algorithm>

namespace skylarkchute {

namespace {

constexpr std::size_t kMaxQueued = 32;

} // namespace

bool FakeEngine::Submit(EngineJob aJob)
{
  if (mRunning.size() >= mSlots && mQueue.size() >= kMaxQueued) {
    return false;
  }
  mQueue.push_back(std::move(aJob));
  StartNext();
  return true;
}

void FakeEngine::Cancel(const AttemptId& aAttempt)
{
  const auto queued = std::find_if(
    mQueue.begin(), mQueue.end(), [&](const EngineJob& aJob) { return aJob.mAttempt == aAttempt; });
  if (queued != mQueue.end()) {
    mQueue.erase(queued);
    return;
  }
  if (mRunning.erase(aAttempt) > 0) {
    StartNext();
  }
}

std::vector<AttemptId> FakeEngine::Crash()
{
  std::vector<AttemptId> lost;
  for (const auto& [attempt, startId] : mRunning) {
    lost.push_back(attempt);
  }
  for (const auto& it : mQueue) {
    lost.push_back(it.mAttempt);
  }
  mRunning.clear();
  mQueue.clear();
  return lost;
}

void FakeEngine::StartNext()
{
  while (mRunning.size() < mSlots && !mQueue.empty()) {
    auto job = std::move(mQueue.front());
    mQueue.pop_front();
    Run(job);
  }
}

void FakeEngine::Run(const EngineJob& aJob)
{
  const auto startId = mNextStartId++;
  const auto attempt = aJob.mAttempt;
  mRunning[attempt] = startId;
  aJob.mOnStart();
  if (aJob.mOnFirstToken) {
    mTimeline.After(aJob.mFirstToken, [this, attempt, startId, call = aJob.mOnFirstToken] {
      if (IsRunning(attempt, startId)) {
        call();
      }
    });
  }
  mTimeline.After(aJob.mDuration, [this, attempt, startId, call = aJob.mOnEnd] {
    if (!IsRunning(attempt, startId)) {
      return;
    }
    mRunning.erase(attempt);
    call();
    StartNext();
  });
}

bool FakeEngine::IsRunning(const AttemptId& aAttempt, std::uint64_t aStartId) const
{
  const auto it = mRunning.find(aAttempt);
  return it != mRunning.end() && it->second == aStartId;
}

} // namespace skylarkchute
