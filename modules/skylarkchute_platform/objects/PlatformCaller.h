#pragma once

#include "../budget/CallRateLimiter.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace skylarkchute {

/** Sends object calls on its own threads, rate-limited by a CallRateLimiter. Thread-safe. Watches
   are long polls and have separate threads, so that they do not delay other calls. */
class PlatformCaller
{
public:
  /** Receives the outcome of each submitted call, once, on any thread. */
  using ReplyHandler = std::function<void(const ObjectReply&)>;
  using EventHandler = std::function<void(const LogEvent&)>;

  struct Options
  {
    CallRateLimiter::Options mBudget;
    std::size_t mCallThreads = 12;
    std::size_t mWatchThreads = 4;
  };

  PlatformCaller(Options aOptions,
                 ObjectApi& aApi,
                 const Clock& aClock,
                 ReplyHandler aOnReply,
                 EventHandler aOnEvent);
  ~PlatformCaller();

  /** Submits a call; its outcome is passed to the ReplyHandler. */
  void Submit(const ObjectCall& aCall);

  /** Sends or refuses waiting calls. Must be called every 10 to 100 ms. */
  void Tick();

  /** @see CallRateLimiter::SetFleetSize */
  void SetFleetSize(std::size_t aInstances);

  /** @see CallRateLimiter::Counts */
  std::vector<CallPurposeCount> Counts() const;

  /** Returns whether the store is considered down. */
  bool IsOutage() const;

private:
  struct Queue
  {
    std::deque<ObjectCall> mCalls;
    std::condition_variable mNotEmpty;
  };

  void DispatchOutput(const RateLimiterOutput& aOutput);
  void RunWorker(Queue& aQueue);

  ObjectApi& mApi;
  const Clock& mClock;
  ReplyHandler mOnReply;
  EventHandler mOnEvent;
  mutable std::mutex mMutex;
  CallRateLimiter mRateLimiter;
  Queue mCallQueue;
  Queue mWatchQueue;
  bool mStopping = false;
  std::vector<std::thread> mThreads;
};

} // namespace skylarkchute
