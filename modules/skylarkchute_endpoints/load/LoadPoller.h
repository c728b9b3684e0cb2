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

/** Polls the load of a set of endpoints periodically. The first polls are spread over the period.

    The period of an endpoint that does not answer doubles at each failure, up to mMaxPeriod.
    Thread-safe. */
class LoadPoller
{
public:
  /** Receives the results of polls, on the threads of the poller. */
  class Listener
  {
  public:
    virtual ~Listener() = default;

    virtual void OnLoad(const LoadReport& aReport) = 0;

    /** Called when a poll returned no valid report. */
    virtual void OnPollFailed(const EndpointId& aEndpoint) = 0;
  };

  struct Options
  {
    std::chrono::milliseconds mPeriod{ 1000 };
    std::chrono::milliseconds mMaxPeriod{ 5000 }; /**< For endpoints that do not answer. */
    std::chrono::milliseconds mTimeout{ 500 };
    std::size_t mThreads = 4;
  };

  LoadPoller(Options aOptions, std::shared_ptr<Listener> aListener);

  /** Blocks until the polls in progress have ended. */
  ~LoadPoller();

  LoadPoller(const LoadPoller&) = delete;
  LoadPoller& operator=(const LoadPoller&) = delete;

  /** Replaces the set of endpoints. The result of a poll in progress may still be reported for an
      endpoint that was removed. */
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
  std::chrono::milliseconds InitialDelay(const EndpointId& aEndpoint) const;
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
