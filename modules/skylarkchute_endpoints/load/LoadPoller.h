#pragma once

#include <skylarkchute_routing/tables/EndpointRecord.h>

#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace skylarkchute {

/** Asks a set of endpoints for their load again and again, spread evenly over the period.

    An endpoint that does not answer is asked less and less often, up to a bound. Safe to use from
    several threads. */
class LoadPoller
{
public:
  /** Hears of loads, on the threads of the poller. */
  class Listener
  {
  public:
    virtual ~Listener() = default;

    virtual void OnLoad(const LoadReport& aReport) = 0;

    /** An endpoint gave no usable report. */
    virtual void OnLoadMissing(const EndpointId& aEndpoint) = 0;
  };

  struct Options
  {
    std::chrono::milliseconds mPeriod{ 1000 };
    std::chrono::milliseconds mMaxPeriod{ 5000 }; /**< For endpoints that do not answer. */
    std::chrono::milliseconds mTimeout{ 500 };
    std::size_t mThreads = 4;
  };

  LoadPoller(Options aOptions, std::shared_ptr<Listener> aListener);

  /** Waits for polls in progress. */
  ~LoadPoller();

  LoadPoller(const LoadPoller&) = delete;
  LoadPoller& operator=(const LoadPoller&) = delete;

  /** Replaces the set of endpoints. One poll of an endpoint that has left it may still be heard. */
  void SetEndpoints(const std::vector<EndpointRecord>& aEndpoints);

private:
  struct Poll
  {
    EndpointRecord mEndpoint;
    std::chrono::milliseconds mPeriod{ 0 };
    TimePoint mDue;
    bool mRunning = false;
  };

  void Run();
  Poll* NextDue();
  std::chrono::milliseconds FirstDelay(const EndpointId& aEndpoint) const;
  bool PollOnce(const EndpointRecord& aEndpoint);
  void Reschedule(const EndpointId& aEndpoint, bool aAnswered);

  Options mOptions;
  std::shared_ptr<Listener> mListener;
  SystemClock mClock;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<EndpointId, Poll> mPolls;
  bool mStopping = false;
  std::vector<std::thread> mThreads;
};

} // namespace skylarkchute
