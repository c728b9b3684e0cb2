#include "PlatformCaller.h"

namespace skylarkchute {

PlatformCaller::PlatformCaller(Options aOptions,
                               ObjectApi& aApi,
                               const Clock& aClock,
                               ReplyHandler aOnReply,
                               EventHandler aOnEvent)
  : mApi(aApi)
  , mClock(aClock)
  , mOnReply(std::move(aOnReply))
  , mOnEvent(std::move(aOnEvent))
  , mRateLimiter(aOptions.mBudget)
{
  for (std::size_t n = 0; n < aOptions.mCallThreads; ++n) {
    mThreads.emplace_back([this] { RunWorker(mCallQueue); });
  }
  for (std::size_t n = 0; n < aOptions.mWatchThreads; ++n) {
    mThreads.emplace_back([this] { RunWorker(mWatchQueue); });
  }
}

PlatformCaller::~PlatformCaller()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mCallQueue.mNotEmpty.notify_all();
  mWatchQueue.mNotEmpty.notify_all();
  for (auto& it : mThreads) {
    it.join();
  }
}

void PlatformCaller::Submit(const ObjectCall& aCall)
{
  RateLimiterOutput output;
  {
    const std::lock_guard lock(mMutex);
    output = mRateLimiter.Submit(aCall, mClock.Now());
  }
  DispatchOutput(output);
}

void PlatformCaller::Tick()
{
  RateLimiterOutput output;
  {
    const std::lock_guard lock(mMutex);
    output = mRateLimiter.Tick(mClock.Now());
  }
  DispatchOutput(output);
}

void PlatformCaller::SetFleetSize(std::size_t aInstances)
{
  const std::lock_guard lock(mMutex);
  mRateLimiter.SetFleetSize(aInstances);
}

std::vector<CallPurposeCount> PlatformCaller::Counts() const
{
  const std::lock_guard lock(mMutex);
  return mRateLimiter.Counts();
}

bool PlatformCaller::IsOutage() const
{
  const std::lock_guard lock(mMutex);
  return mRateLimiter.IsOutage();
}

void PlatformCaller::DispatchOutput(const RateLimiterOutput& aOutput)
{
  {
    const std::lock_guard lock(mMutex);
    for (const auto& it : aOutput.mSend) {
      const bool isWatch = std::holds_alternative<WatchObjects>(it.mOperation);
      auto& queue = isWatch ? mWatchQueue : mCallQueue;
      queue.mCalls.push_back(it);
      queue.mNotEmpty.notify_one();
    }
  }
  for (const auto& it : aOutput.mRefused) {
    mOnReply(it);
  }
  for (const auto& it : aOutput.mEvents) {
    mOnEvent(it);
  }
}

void PlatformCaller::RunWorker(Queue& aQueue)
{
  for (;;) {
    ObjectCall call;
    {
      std::unique_lock lock(mMutex);
      aQueue.mNotEmpty.wait(lock, [&] { return mStopping || !aQueue.mCalls.empty(); });
      if (mStopping) {
        return;
      }
      call = std::move(aQueue.mCalls.front());
      aQueue.mCalls.pop_front();
    }
    const auto reply = mApi.Call(call);
    RateLimiterOutput output;
    {
      const std::lock_guard lock(mMutex);
      output = mRateLimiter.OnReply(reply, mClock.Now());
    }
    mOnReply(reply);
    DispatchOutput(output);
  }
}

} // namespace skylarkchute
