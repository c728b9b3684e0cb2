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
  for (const auto& [attempt, life] : mRunning) {
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
  const auto life = mNextLife++;
  const auto attempt = aJob.mAttempt;
  mRunning[attempt] = life;
  aJob.mOnStart();
  if (aJob.mOnFirstToken) {
    mTimeline.After(aJob.mFirstToken, [this, attempt, life, call = aJob.mOnFirstToken] {
      if (IsRunning(attempt, life)) {
        call();
      }
    });
  }
  mTimeline.After(aJob.mDuration, [this, attempt, life, call = aJob.mOnEnd] {
    if (!IsRunning(attempt, life)) {
      return;
    }
    mRunning.erase(attempt);
    call();
    StartNext();
  });
}

bool FakeEngine::IsRunning(const AttemptId& aAttempt, std::uint64_t aLife) const
{
  const auto it = mRunning.find(aAttempt);
  return it != mRunning.end() && it->second == aLife;
}

} // namespace skylarkchute
