#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <Poco/Net/StreamSocket.h>

#include <condition_variable>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

namespace skylarkchute {

/** Knows every connection of callers and ends those that take too long to send a request.

    A connection is idle, reading or busy. An idle one is ended when the entry drains, a reading one
    when its time is up: its receiving side is shut, so that the thread that reads sees the end and
    can still answer. A busy one is left alone. Safe to use from several threads. */
class ConnectionRegistry
{
public:
  /** The registry's entry for one connection; removes it on destruction. Used by one thread. */
  class Entry
  {
  public:
    Entry(ConnectionRegistry& aRegistry, const Poco::Net::StreamSocket& aSocket);
    ~Entry();

    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

    /** The connection waits for a request. Ends it when the entry drains. */
    void BeginIdle();

    /** A request has begun to arrive and must be whole in time.
        Without effect on a connection that was ended. */
    void BeginReading(std::chrono::milliseconds aTimeout);

    /** The request is whole. @returns false when the connection was ended before */
    bool BeginBusy();

    /** Returns whether the time of a reading connection was up. */
    bool IsExpired() const;

    /** Returns whether the connection was ended because the entry drains. */
    bool IsDrained() const;

  private:
    friend class ConnectionRegistry;

    enum class Phase
    {
      Idle,
      Reading,
      Busy,
      Expired,
      Drained,
    };

    void EndLocked(Phase aPhase);

    ConnectionRegistry& mRegistry;
    Poco::Net::StreamSocket mSocket;
    Phase mPhase = Phase::Idle;
    TimePoint mDeadline;
    std::list<Entry*>::iterator mPlace;
  };

  ConnectionRegistry();
  ~ConnectionRegistry();

  ConnectionRegistry(const ConnectionRegistry&) = delete;
  ConnectionRegistry& operator=(const ConnectionRegistry&) = delete;

  /** Ends idle connections, now and from now on. */
  void Drain();

  bool IsDraining() const;

  /** Returns how many connections there are. */
  std::size_t Count() const;

  /** Waits until no connection is left. @returns false when @p aTimeout passed before */
  bool WaitUntilEmpty(std::chrono::milliseconds aTimeout);

private:
  void Watch();

  SystemClock mClock;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::list<Entry*> mEntries;
  bool mDraining = false;
  bool mStopping = false;
  std::thread mWatcher;
};

} // namespace skylarkchute
