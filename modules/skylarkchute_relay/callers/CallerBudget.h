#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_set>

namespace skylarkchute {

/** Bounds how many connections there are and how many bytes they hold together.

    When the bytes are spent, the connection that has held most for longest without progress gives
    way. Does no I/O and reads no clock. */
class CallerBudget
{
public:
  struct Bounds
  {
    std::size_t mBytes = 0;
    std::size_t mConnections = 0;
  };

  /** What a connection does at the moment. */
  enum class Phase
  {
    Idle,      /**< Waits for a request. */
    Receiving, /**< A request has begun to arrive. */
    Serving,   /**< A request is being served; the connection does not give way. */
    /** As Serving, but the caller has sent bytes behind the request. Gives way to a new connection
        if nothing else can. */
    Pipelining,
    Sending,   /**< Response bytes wait until the caller takes them. */
    Lingering, /**< The last response is sent; further bytes are discarded. */
  };

  /** The part of one connection. It is given back when the account is destroyed. */
  class Account
  {
  public:
    /** @param aGiveWay  lets the connection end and give back what it holds; called at most once,
                         within a call for any account of the budget */
    Account(CallerBudget& aBudget, TimePoint aNow, std::function<void()> aGiveWay);
    ~Account();

    Account(const Account&) = delete;
    Account& operator=(const Account&) = delete;

    /** States what the connection does and holds in all. Others give way if the bytes are spent.
        @returns false when this connection has to give way itself */
    bool Hold(Phase aPhase, std::size_t aBytes, TimePoint aNow);

    /** Restarts the time without progress, as when the caller has taken bytes. */
    void OnProgress(TimePoint aNow) { mSince = aNow; }

  private:
    friend class CallerBudget;

    bool MayEndForNew(TimePoint aNow) const;

    CallerBudget& mBudget;
    std::function<void()> mGiveWay;
    std::size_t mBytes;
    TimePoint mSince; /**< Of the last change of phase, or of progress. */
    Phase mPhase = Phase::Idle;
    bool mWasServed = false; /**< A request of the connection was complete. */
    bool mGaveWay = false;
  };

  /** Numbers since the last TakeCounts(). */
  struct Counts
  {
    std::uint64_t mGaveWay = 0;            /**< Connections ended since the bytes were spent. */
    std::uint64_t mRefusedRequests = 0;    /**< Not read, since the bytes were spent. */
    std::uint64_t mEndedForNew = 0;        /**< Connections ended to make room for new ones. */
    std::uint64_t mRefusedConnections = 0; /**< For lack of room. */
    std::uint64_t mSlowBodies = 0;         /**< Below the least rate. */
    std::uint64_t mManyLines = 0;          /**< Too many header lines. */
  };

  explicit CallerBudget(Bounds aBounds) : mBounds(aBounds) {}

  CallerBudget(const CallerBudget&) = delete;
  CallerBudget& operator=(const CallerBudget&) = delete;

  /** Returns whether another connection may be opened. Ends one that has been without progress if
      there is no room. */
  bool MayConnect(TimePoint aNow);

  /** Returns whether a request may be read that will hold @p aBytes more. Ends connections that
      have been without progress if it does not fit. */
  bool MayReceive(std::size_t aBytes, TimePoint aNow);

  /** Counts a body below the least rate, or a request with too many header lines. */
  void CountSlowBody() { ++mCounts.mSlowBodies; }
  void CountManyLines() { ++mCounts.mManyLines; }

  /** Returns the counts and resets them. */
  Counts TakeCounts();

  void SetBounds(Bounds aBounds) { mBounds = aBounds; }
  std::size_t Bytes() const { return mBytes; }
  std::size_t Connections() const { return mAccounts.size(); }

private:
  std::size_t LimitFor(std::size_t aBytes) const;
  Account* Heaviest(TimePoint aNow, TimePoint aBefore) const;
  Account* LongestWaiting(TimePoint aNow) const;
  void EndFor(Account& aAccount);

  Bounds mBounds;
  std::size_t mBytes = 0; /**< Of all accounts. */
  std::unordered_set<Account*> mAccounts;
  Counts mCounts;
};

} // namespace skylarkchute
