#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <Poco/Net/StreamSocket.h>

#include <condition_variable>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

namespace skylarkchute {

/** Tracks all caller connections and ends those that take too long to send a request.

    A connection is idle, reading or busy. An idle connection is ended when the entry drains, a
    reading one when its deadline passes; a busy one is never ended. To end a connection, the
    registry shuts down its receiving side only: the thread that reads from it sees the end of the
    stream and can still send an answer. Thread-safe. */
class ConnectionRegistry
{
public:
  /** Registers one connection for the lifetime of this object. Used by the connection's thread
      only. */
  class Entry
  {
  public:
    Entry(ConnectionRegistry& aRegistry, const Poco::Net::StreamSocket& aSocket);
    ~Entry();

    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

    /** Marks the connection as waiting for a request. Ends it if the entry is draining. */
    void BeginIdle();

    /** Marks that a request has begun to arrive, which must be complete within @p aTimeout.
        Has no effect on a connection that was ended. */
    void BeginReading(std::chrono::milliseconds aTimeout);

    /** Marks that the request is complete. @returns false when the connection was already ended */
    bool BeginBusy();

    /** Returns whether the connection was ended because a request did not arrive in time. */
    bool IsExpired() const;

    /** Returns whether the connection was ended because the entry is draining. */
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
    TimePoint mSince; /**< Of the phase, if it is idle or reading. */
    TimePoint mDeadline;
    std::list<Entry*>::iterator mIterator;
  };

  ConnectionRegistry();
  ~ConnectionRegistry();

  ConnectionRegistry(const ConnectionRegistry&) = delete;
  ConnectionRegistry& operator=(const ConnectionRegistry&) = delete;

  /** Ends all idle connections, and from now on each connection that becomes idle. */
  void Drain();

  bool IsDraining() const;

  /** Ends the connection that has been idle for longest, to make room for a new one. If none is
      idle, ends the one whose request has been arriving for longest, if that is long.
      @returns whether one was ended */
  bool EndLongestWaiting();

  /** Returns the number of open connections. */
  std::size_t Count() const;

  /** Waits until all connections are closed. @returns false when @p aTimeout expires first */
  bool WaitUntilEmpty(std::chrono::milliseconds aTimeout);

private:
  void RunDeadlineChecks();

  SystemClock mClock;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::list<Entry*> mEntries;
  bool mDraining = false;
  bool mStopping = false;
  std::thread mDeadlineThread;
};

} // namespace skylarkchute
