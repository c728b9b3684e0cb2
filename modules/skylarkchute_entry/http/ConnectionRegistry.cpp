#include "ConnectionRegistry.h"

#include <Poco/Exception.h>

#include <utility>

namespace skylarkchute {

namespace {

constexpr std::chrono::milliseconds kDeadlineCheckPeriod{ 50 };

/** A request that has been arriving for longer may be ended to make room for a new connection. An
    ordinary request arrives within a fraction of it. */
constexpr std::chrono::milliseconds kSlowRequest{ 1000 };

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
  mSince = mRegistry.mClock.Now();
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
  mSince = mRegistry.mClock.Now();
  mDeadline = mSince + aTimeout;
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

bool ConnectionRegistry::EndLongestWaiting()
{
  using Phase = Entry::Phase;
  const std::lock_guard lock(mMutex);
  const auto now = mClock.Now();
  Entry* longest = nullptr;
  for (auto* it : mEntries) {
    const bool mayEnd = it->mPhase == Phase::Idle ||
                        (it->mPhase == Phase::Reading && now - it->mSince >= kSlowRequest);
    if (!mayEnd) {
      continue;
    }
    const auto rank = std::pair(it->mPhase == Phase::Reading, it->mSince);
    if (longest == nullptr ||
        rank < std::pair(longest->mPhase == Phase::Reading, longest->mSince)) {
      longest = it;
    }
  }
  if (longest != nullptr) {
    longest->EndLocked(longest->mPhase == Phase::Idle ? Phase::Drained : Phase::Expired);
  }
  return longest != nullptr;
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
