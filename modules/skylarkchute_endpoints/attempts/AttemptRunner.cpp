#include "AttemptRunner.h"

#include <Poco/Runnable.h>

#include <algorithm>
#include <cassert>

namespace skylarkchute {

namespace {

constexpr int kMinThreads = 1;

} // namespace

/** Runs queued attempts on one thread of the pool until the runner stops. */
class AttemptRunner::Worker final : public Poco::Runnable
{
public:
  explicit Worker(AttemptRunner& aRunner) : mRunner(aRunner) {}

  void run() override { mRunner.RunWorker(); }

private:
  AttemptRunner& mRunner;
};

AttemptRunner::AttemptRunner(Options aOptions)
  : mOptions(aOptions)
  , mPool("attempts", kMinThreads, std::max(kMinThreads, aOptions.mMaxThreads))
{
  assert(aOptions.mMaxThreads > 0);
}

AttemptRunner::~AttemptRunner()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
    for (const auto& [id, client] : mClients) {
      client->Cancel();
    }
    mWorkAvailable.notify_all();
  }
  mPool.joinAll();
}

void AttemptRunner::Submit(AttemptRequest aRequest,
                           const std::shared_ptr<EndpointClient::Listener>& aListener)
{
  const auto attempt = aRequest.mAttempt;
  if (TryEnqueue(
        std::make_shared<EndpointClient>(std::move(aRequest), aListener, mOptions.mClient))) {
    return;
  }
  AttemptResult result;
  result.mAttempt = attempt;
  result.mOutcome.mEnd = AttemptEnd::Refused;
  result.mOutcome.mVerdict = Verdict::NotRun;
  result.mDetail = "too many attempts in flight at this instance";
  aListener->OnEnd(result);
}

bool AttemptRunner::TryEnqueue(const std::shared_ptr<EndpointClient>& aClient)
{
  const std::lock_guard lock(mMutex);
  const bool needsWorker = mQueue.size() >= mIdleWorkers;
  const bool mayStart = mWorkers < mOptions.mMaxThreads;
  const auto limit = static_cast<std::size_t>(mOptions.mMaxThreads) + mOptions.mMaxQueued;
  if (mStopping || mClients.size() >= limit) {
    return false;
  }
  assert(!mClients.contains(aClient->Request().mAttempt));
  mClients[aClient->Request().mAttempt] = aClient;
  mQueue.push_back(aClient);
  if (needsWorker && mayStart) {
    mWorkerList.push_back(std::make_unique<Worker>(*this));
    mPool.start(*mWorkerList.back());
    ++mWorkers;
    ++mIdleWorkers;
  }
  mWorkAvailable.notify_one();
  return true;
}

void AttemptRunner::RunWorker()
{
  std::unique_lock lock(mMutex);
  while (true) {
    mWorkAvailable.wait(lock, [this] { return mStopping || !mQueue.empty(); });
    --mIdleWorkers;
    if (mQueue.empty()) {
      return;
    }
    const auto client = mQueue.front();
    mQueue.pop_front();
    lock.unlock();
    client->Run();
    lock.lock();
    mClients.erase(client->Request().mAttempt);
    ++mIdleWorkers;
  }
}

void AttemptRunner::Cancel(const AttemptId& aAttempt)
{
  const std::lock_guard lock(mMutex);
  const auto it = mClients.find(aAttempt);
  if (it != mClients.end()) {
    it->second->Cancel();
  }
}

std::size_t AttemptRunner::InFlight() const
{
  const std::lock_guard lock(mMutex);
  return mClients.size();
}

} // namespace skylarkchute
