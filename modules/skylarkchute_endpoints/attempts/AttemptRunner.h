#pragma once

#include "EndpointClient.h"

#include <Poco/ThreadPool.h>

#include <condition_variable>
#include <deque>
#include <map>
#include <vector>

namespace skylarkchute {

/** Runs attempts on a bounded number of threads. Safe to use from several threads. */
class AttemptRunner
{
public:
  struct Options
  {
    int mMaxThreads = 256;
    std::size_t mMaxQueued = 256; /**< Attempts that wait for a thread. */
    EndpointClient::Options mClient;
  };

  explicit AttemptRunner(Options aOptions);

  /** Cancels every attempt and waits for their OnEnd. */
  ~AttemptRunner();

  AttemptRunner(const AttemptRunner&) = delete;
  AttemptRunner& operator=(const AttemptRunner&) = delete;

  /** Runs an attempt; its listener hears on a thread of the runner. When no thread and no place in
      the queue is free, OnEnd comes on the calling thread with Refused and NotRun. */
  void Submit(AttemptRequest aRequest, const std::shared_ptr<EndpointClient::Listener>& aListener);

  /** Ends an attempt soon: closes its connection and tells the endpoint. Unknown ids are ignored.
   */
  void Cancel(const AttemptId& aAttempt);

  /** Returns how many attempts run or wait. */
  std::size_t InFlight() const;

private:
  class Worker;

  void RunWorker();
  bool TryReserve(const std::shared_ptr<EndpointClient>& aClient);

  Options mOptions;
  mutable std::mutex mMutex;
  std::condition_variable mWork;
  std::deque<std::shared_ptr<EndpointClient>> mQueue;
  std::map<AttemptId, std::shared_ptr<EndpointClient>> mClients;
  int mWorkers = 0;
  std::size_t mIdleWorkers = 0;
  bool mStopping = false;
  std::vector<std::unique_ptr<Worker>> mWorkerList;
  Poco::ThreadPool mPool;
};

} // namespace skylarkchute
