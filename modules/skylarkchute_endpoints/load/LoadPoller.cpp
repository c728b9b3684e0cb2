#include "LoadPoller.h"

#include "LoadClient.h"

#include <algorithm>
#include <cassert>

namespace skylarkchute {

LoadPoller::LoadPoller(Options aOptions, std::shared_ptr<Listener> aListener)
  : mOptions(aOptions)
  , mListener(std::move(aListener))
{
  assert(mListener && mOptions.mPeriod.count() > 0 && mOptions.mThreads > 0);
  for (std::size_t n = 0; n < mOptions.mThreads; ++n) {
    mThreads.emplace_back([this] { Run(); });
  }
}

LoadPoller::~LoadPoller()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
    mChanged.notify_all();
  }
  for (auto& it : mThreads) {
    it.join();
  }
}

void LoadPoller::SetEndpoints(const std::vector<EndpointRecord>& aEndpoints)
{
  const std::lock_guard lock(mMutex);
  std::map<EndpointId, Poll> polls;
  for (const auto& it : aEndpoints) {
    const auto known = mPolls.find(it.mId);
    auto& poll = polls[it.mId];
    if (known != mPolls.end()) {
      poll = known->second;
    } else {
      poll.mPeriod = mOptions.mPeriod;
      poll.mDue = mClock.Now() + InitialDelay(it.mId);
    }
    poll.mEndpoint = it;
  }
  mPolls = std::move(polls);
  mChanged.notify_all();
}

std::chrono::milliseconds LoadPoller::InitialDelay(const EndpointId& aEndpoint) const
{
  const auto periodMs = static_cast<std::uint64_t>(mOptions.mPeriod.count());
  return std::chrono::milliseconds(StableHash(aEndpoint.Value()) % periodMs);
}

void LoadPoller::Run()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    auto* next = NextDue();
    if (next == nullptr) {
      mChanged.wait(lock);
      continue;
    }
    // SetEndpoints may replace the map during the wait, so the due time is copied.
    const auto due = next->mDue;
    if (mClock.Now() < due) {
      mChanged.wait_until(lock, due);
      continue;
    }
    next->mRunning = true;
    const auto endpoint = next->mEndpoint;
    lock.unlock();
    const bool answered = PollOnce(endpoint);
    lock.lock();
    Reschedule(endpoint.mId, answered);
  }
}

LoadPoller::Poll* LoadPoller::NextDue()
{
  Poll* next = nullptr;
  for (auto& [id, poll] : mPolls) {
    if (!poll.mRunning && (next == nullptr || poll.mDue < next->mDue)) {
      next = &poll;
    }
  }
  return next;
}

bool LoadPoller::PollOnce(const EndpointRecord& aEndpoint)
{
  const auto report = PollLoad(aEndpoint, mOptions.mTimeout);
  if (!report) {
    mListener->OnPollFailed(aEndpoint.mId);
    return false;
  }
  mListener->OnLoad(*report);
  return true;
}

void LoadPoller::Reschedule(const EndpointId& aEndpoint, bool aAnswered)
{
  const auto it = mPolls.find(aEndpoint);
  if (it == mPolls.end()) {
    return;
  }
  auto& poll = it->second;
  poll.mRunning = false;
  poll.mPeriod = aAnswered ? mOptions.mPeriod : std::min(poll.mPeriod * 2, mOptions.mMaxPeriod);
  poll.mDue = std::max(poll.mDue + poll.mPeriod, mClock.Now());
  mChanged.notify_all();
}

} // namespace skylarkchute
