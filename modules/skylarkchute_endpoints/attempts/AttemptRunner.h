#pragma once

#include "EndpointClient.h"

#include <Poco/ThreadPool.h>

#include <condition_variable>
#include <deque>
#include <map>
#include <vector>

namespace skylarkchute {

/** Runs attempts on a bounded number of threads. Thread-safe. */
class AttemptRunner
{
public:
  struct Options
  {
    int mMaxThreads = 256;
    std::size_t mMaxQueued = 256; /**< Limit for attempts waiting for a thread. */
    EndpointClient::Options mClient;
  };

  explicit AttemptRunner(Options aOptions);

  /** Cancels every attempt and waits for their OnEnd. */
  ~AttemptRunner();

  AttemptRunner(const AttemptRunner&) = delete;
  AttemptRunner& operator=(const AttemptRunner&) = delete;

  /** Runs an attempt; its listener is called on a thread of the runner. When all threads are busy
      and the queue is full, or the runner is stopping, OnEnd is called on the calling thread with
      Refused and NotRun. */
  void Submit(AttemptRequest aRequest, const std::shared_ptr<EndpointClient::Listener>& aListener);

  /** Cancels an attempt: shuts its connection down, and sends a cancel request to the endpoint if
      the attempt may still run there. Unknown ids are ignored. */
  void Cancel(const AttemptId& aAttempt);

  /** Returns the number of running and queued attempts. */
  std::size_t InFlight() const;

private:
  class Worker;

  void RunWorker();
  bool TryEnqueue(const std::shared_ptr<EndpointClient>& aClient);

  Options mOptions;
  mutable std::mutex mMutex;
  std::condition_variable mWorkAvailable;
  std::deque<std::shared_ptr<EndpointClient>> mQueue;
  std::map<AttemptId, std::shared_ptr<EndpointClient>> mClients;
  int mWorkers = 0;
  std::size_t mIdleWorkers = 0;
  bool mStopping = false;
  std::vector<std::unique_ptr<Worker>> mWorkerList;
  Poco::ThreadPool mPool;
};

} // namespace skylarkchute
