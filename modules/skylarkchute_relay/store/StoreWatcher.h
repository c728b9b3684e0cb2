#pragma once

#include "../net/HttpCall.h"
#include "StoreMirror.h"

#include <optional>
#include <set>
#include <string>

namespace skylarkchute {

/** Receives the outcome of this instance's list and watch calls to the store. */
class StoreHealthListener
{
public:
  virtual ~StoreHealthListener() = default;
  virtual void OnStoreSuccess(ObjectKind aKind) = 0;
  virtual void OnStoreFailure(ObjectKind aKind, const std::string& aReason) = 0;

  /** A watch has reported a change of an object, or its removal. */
  virtual void OnStoreChange(StoreVersion /*aRevision*/) {}

  /** Returns whether a watcher whose call failed is to try again now. While the store is away, one
      kind tries for all. */
  virtual bool MayRetry(ObjectKind aKind) const = 0;

  /** Returns whether entries may have expired in an outage of the store. */
  virtual ListOrigin OriginOfList() const = 0;
};

/** Keeps the objects of one kind in the mirror up to date: lists them, then watches for changes by
    long polling. Lists again when the store no longer retains the changes since the last revision,
    and after a failed call if entries of the kind may have expired in the meantime. */
class StoreWatcher : public std::enable_shared_from_this<StoreWatcher>
{
public:
  /** Entries may have expired while the store was away for this long. */
  static constexpr std::chrono::milliseconds kOutageAge{ 1500 };

  /** Pause after a failed call, doubled for each further consecutive failure. Jitter shortens it to
      between half and the full time. */
  static constexpr std::chrono::milliseconds kInitialBackoff{ 120 };

  /** Returns the pause between a change and the next watch. Changes come in series and every call
      to the store has a cost, so the pause lets one call return several changes. It has to stay
      well below the time within which changes of the kind have to take effect. */
  static std::chrono::milliseconds CoalescingDelay(ObjectKind aKind);

  /** A store that answers other calls answers a list or a catch-up within this time. */
  static constexpr std::chrono::milliseconds kOverdueTime{ 1000 };

  /** @param aJitter  returns a random number from 0 to 1; spreads the retries of several instances
                      over time */
  StoreWatcher(boost::asio::io_context& aContext,
               const std::string& aAddress,
               ObjectKind aKind,
               StoreMirror& aMirror,
               StoreHealthListener& aListener,
               std::function<double()> aJitter);

  /** Cancels a call in progress and starts again with a list. */
  void Restart();

  /** Tries again now if the last call failed. */
  void RetryNow();

  /** Cancels the call in progress, whose answer may be lost, and catches up with the store.
      @param aOwedSince  since when the store has answered this instance nothing at all, if so */
  void Refresh(std::optional<TimePoint> aOwedSince = std::nullopt);

  /** Makes the watch in progress again, whose answer may be lost, and returns at once with what has
      changed. Does nothing while the kind is listed or its last call has failed. */
  void CatchUp();

  /** Fails the call in progress if the store owes its answer for kOverdueTime, more after failures,
      and has answered another call meanwhile: such an answer is lost, or its call is to be made
      again later. To be called every few hundred milliseconds.
      @param aAnsweredAt  when the store answered this instance last */
  void FailOverdueCall(TimePoint aAnsweredAt, TimePoint aNow);

  /** Returns the kind that it watches. */
  ObjectKind Kind() const { return mKind; }

  /** Cancels the call in progress and makes no further ones until Restart(). */
  void Stop();

private:
  void List(const std::string& aAfter);
  void Watch(std::chrono::milliseconds aWait, std::chrono::milliseconds aTimeout);
  void Call(const std::string& aTarget,
            std::chrono::milliseconds aWait,
            std::chrono::milliseconds aTimeout,
            void (StoreWatcher::*aHandler)(const CallResult&));
  void Handle(const CallResult& aResult, void (StoreWatcher::*aHandler)(const CallResult&));
  void OnListed(const CallResult& aResult);
  void ListNextPage(const StorePage& aPage);
  void CatchUpWithList();
  void OnListCaughtUp(const CallResult& aResult);
  void FinishList();
  void OnWatched(const CallResult& aResult);
  std::uint64_t EraOfAnswer(const CallResult& aResult) const;
  ListOrigin OriginOfList() const;
  void OnAnswered();
  void CountFailure();
  void RetryAfterFailure(const CallResult& aResult);
  void RetryAfterFailure(const std::string& aReason);
  void ScheduleRetry();
  void Retry();

  ObjectKind mKind;
  StoreMirror& mMirror;
  StoreHealthListener& mListener;
  std::function<double()> mJitter;
  std::shared_ptr<HttpCall> mCall;
  boost::asio::steady_timer mPauseTimer;
  KindSnapshot mListing;
  std::set<std::string> mListedAfter;  /**< Names that pages of mListing were listed after. */
  StoreVersion mWatchRevision = 0;     /**< Last state received from the store itself. */
  std::uint32_t mFailures = 0;         /**< Consecutive failed calls. */
  TimePoint mAnswerDue{};              /**< When the store should answer the call in progress. */
  std::optional<TimePoint> mAwaySince; /**< Since when the store has owed an answer. */
  bool mIsStopped = true;
  bool mIsListing = false;
};

} // namespace skylarkchute
