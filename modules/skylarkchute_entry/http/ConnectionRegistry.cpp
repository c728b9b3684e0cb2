#include "ConnectionRegistry.h"

#include <Poco/Exception.h>

namespace skylarkchute {

namespace {

constexpr std::chrono::milliseconds kDeadlineCheckPeriod{ 50 };

} // namespace

ConnectionRegistry::Entry::Entry(ConnectionRegistry& aRegistry,
                                 const Poco::Net::StreamSocket& aSocket)
  : mRegistry(aRegistry)
  , mSocket(aSocket)
{
  const std::lock_guard lock(mRegistry.mMutex);
  mIterator = mRegistry.mEntries.insert(mRegistry.mEntries.end(), this);
}

ConnectionRegistry::Entry::~Entry()
{
  const std::lock_guard lock(mRegistry.mMutex);
  mRegistry.mEntries.erase(mIterator);
  mRegistry.mChanged.notify_all();
}

void ConnectionRegistry::Entry::BeginIdle()
{
  const std::lock_guard lock(mRegistry.mMutex);
  mPhase = Phase::Idle;
  if (mRegistry.mDraining) {
    EndLocked(Phase::Drained);
  }
}

void ConnectionRegistry::Entry::BeginReading(std::chrono::milliseconds aTimeout)
{
  const std::lock_guard lock(mRegistry.mMutex);
  if (mPhase == Phase::Drained || mPhase == Phase::Expired) {
    return;
  }
  mPhase = Phase::Reading;
  mDeadline = mRegistry.mClock.Now() + aTimeout;
}

bool ConnectionRegistry::Entry::BeginBusy()
{
  const std::lock_guard lock(mRegistry.mMutex);
  if (mPhase == Phase::Drained || mPhase == Phase::Expired) {
    return false;
  }
  mPhase = Phase::Busy;
  return true;
}

bool ConnectionRegistry::Entry::IsExpired() const
{
  const std::lock_guard lock(mRegistry.mMutex);
  return mPhase == Phase::Expired;
}

bool ConnectionRegistry::Entry::IsDrained() const
{
  const std::lock_guard lock(mRegistry.mMutex);
  return mPhase == Phase::Drained;
}

void ConnectionRegistry::Entry::EndLocked(Phase aPhase)
{
  mPhase = aPhase;
  try {
    mSocket.shutdownReceive();
  } catch (const Poco::Exception&) {
    // The caller has already closed the connection.
  }
}

ConnectionRegistry::ConnectionRegistry() : mDeadlineThread([this] { RunDeadlineChecks(); }) {}

ConnectionRegistry::~ConnectionRegistry()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
    mChanged.notify_all();
  }
  mDeadlineThread.join();
}

void ConnectionRegistry::Drain()
{
  const std::lock_guard lock(mMutex);
  mDraining = true;
  for (auto* it : mEntries) {
    if (it->mPhase == Entry::Phase::Idle) {
      it->EndLocked(Entry::Phase::Drained);
    }
  }
}

bool ConnectionRegistry::IsDraining() const
{
  const std::lock_guard lock(mMutex);
  return mDraining;
}

std::size_t ConnectionRegistry::Count() const
{
  const std::lock_guard lock(mMutex);
  return mEntries.size();
}

bool ConnectionRegistry::WaitUntilEmpty(std::chrono::milliseconds aTimeout)
{
  std::unique_lock lock(mMutex);
  return mChanged.wait_for(lock, aTimeout, [this] { return mEntries.empty(); });
}

void ConnectionRegistry::RunDeadlineChecks()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    mChanged.wait_for(lock, kDeadlineCheckPeriod, [this] { return mStopping; });
    const auto now = mClock.Now();
    for (auto* it : mEntries) {
      if (it->mPhase == Entry::Phase::Reading && it->mDeadline <= now) {
        it->EndLocked(Entry::Phase::Expired);
      }
    }
  }
}

} // namespace skylarkchute
