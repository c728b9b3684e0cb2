#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace skylarkchute {

/** Calls a function repeatedly on its own thread until destroyed. */
class PeriodicThread
{
public:
  /** @param aPause  time between the end of one call and the start of the next */
  PeriodicThread(std::chrono::milliseconds aPause, std::function<void()> aWork)
    : mPause(aPause)
    , mWork(std::move(aWork))
    , mThread([this] { Run(); })
  {
  }

  ~PeriodicThread()
  {
    {
      const std::lock_guard lock(mMutex);
      mStopping = true;
    }
    mStopped.notify_all();
    mThread.join();
  }

  PeriodicThread(const PeriodicThread&) = delete;
  PeriodicThread& operator=(const PeriodicThread&) = delete;

private:
  void Run()
  {
    std::unique_lock lock(mMutex);
    while (!mStopping) {
      lock.unlock();
      mWork();
      lock.lock();
      mStopped.wait_for(lock, mPause, [&] { return mStopping; });
    }
  }

  std::chrono::milliseconds mPause;
  std::function<void()> mWork;
  std::mutex mMutex;
  std::condition_variable mStopped;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace skylarkchute
