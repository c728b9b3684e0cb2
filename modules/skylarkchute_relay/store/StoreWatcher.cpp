#include "StoreWatcher.h"

#include <json/writer.h>

#include <algorithm>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

/** The store answers a watch after this time if nothing has changed. TCP keepalive probes detect a
    dead connection sooner. */
constexpr milliseconds kWatchWait{ 30000 };
constexpr milliseconds kWatchTimeoutMargin{ 1500 };
constexpr milliseconds kListTimeout{ 2500 };

/** Wait of a watch that only catches up, so that its answer shows at once that the store serves the
    kind. */
constexpr milliseconds kCatchUpWait{ 1 };

/** The pause after a failed call is doubled at most so often. */
constexpr std::uint32_t kMaxDoublings = 4;

constexpr unsigned kOk = 200;
constexpr unsigned kHistoryGone = 410;
constexpr unsigned kServerErrors = 500;

TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

milliseconds StoreWatcher::CoalescingDelay(ObjectKind aKind)
{
  switch (aKind) {
    case ObjectKind::Config:
      return milliseconds(150);
    case ObjectKind::Endpoints:
      return milliseconds(200);
    case ObjectKind::Rollouts:
      return milliseconds(100);
    case ObjectKind::Instances:
      return milliseconds(1000);
    case ObjectKind::Evacuations:
      return milliseconds(100);
  }
  return milliseconds(0);
}

StoreWatcher::StoreWatcher(boost::asio::io_context& aContext,
                           const std::string& aAddress,
                           ObjectKind aKind,
                           StoreMirror& aMirror,
                           StoreHealthListener& aListener,
                           std::function<double()> aJitter)
  : mKind(aKind)
  , mMirror(aMirror)
  , mListener(aListener)
  , mJitter(std::move(aJitter))
  , mCall(std::make_shared<HttpCall>(aContext, aAddress))
  , mPauseTimer(aContext)
{
}

void StoreWatcher::Restart()
{
  mPauseTimer.cancel();
  mCall->Cancel();
  OnAnswered();
  mIsStopped = false;
  List({});
}

void StoreWatcher::RetryNow()
{
  if (mFailures > 0 && !mIsStopped && !mCall->IsBusy()) {
    mPauseTimer.cancel();
    Retry();
  }
}

void StoreWatcher::Refresh(std::optional<TimePoint> aOwedSince)
{
  if (mIsStopped) {
    return;
  }
  if (aOwedSince) {
    mAwaySince = std::min(mAwaySince.value_or(*aOwedSince), *aOwedSince);
  }
  mPauseTimer.cancel();
  mCall->Cancel();
  Retry();
}

void StoreWatcher::CatchUp()
{
  if (mIsStopped || mIsListing || mFailures > 0) {
    return;
  }
  mPauseTimer.cancel();
  Watch(kCatchUpWait, kListTimeout);
}

void StoreWatcher::FailOverdueCall(TimePoint aAnsweredAt, TimePoint aNow)
{
  const bool isOverdue = mCall->IsBusy() && aAnsweredAt > mAnswerDue &&
                         aNow - mAnswerDue >= kOverdueTime * (mFailures + 1);
  if (mIsStopped || !isOverdue) {
    return;
  }
  mCall->Cancel();
  RetryAfterFailure("overdue answer");
}

void StoreWatcher::Stop()
{
  mIsStopped = true;
  mPauseTimer.cancel();
  mCall->Cancel();
}

void StoreWatcher::List(const std::string& aAfter)
{
  mIsListing = true;
  if (aAfter.empty()) {
    mListing = KindSnapshot{};
    mListedAfter.clear();
  }
  Call(ListTarget(mKind, aAfter), milliseconds(0), kListTimeout, &StoreWatcher::OnListed);
}

/** Starts a call.
    @param aWait  time for which the store may hold it before it answers */
void StoreWatcher::Call(const std::string& aTarget,
                        milliseconds aWait,
                        milliseconds aTimeout,
                        void (StoreWatcher::*aHandler)(const CallResult&))
{
  mAnswerDue = Now() + aWait;
  mCall->Start(
    "GET", aTarget, {}, aTimeout, [self = shared_from_this(), aHandler](const CallResult& aResult) {
      self->Handle(aResult, aHandler);
    });
}

/** Calls a handler of an answer. If it fails with an exception, the kind is tried again later,
   since no other call would follow. */
void StoreWatcher::Handle(const CallResult& aResult,
                          void (StoreWatcher::*aHandler)(const CallResult&))
{
  try {
    (this->*aHandler)(aResult);
  } catch (...) {
    if (!mCall->IsBusy()) {
      CountFailure();
      ScheduleRetry();
    }
    throw;
  }
}

/** Returns the era of an answer; one that names none belongs to the era that is known. */
std::uint64_t StoreWatcher::EraOfAnswer(const CallResult& aResult) const
{
  return aResult.mStoreEra.value_or(mMirror.Era());
}

void StoreWatcher::OnListed(const CallResult& aResult)
{
  auto page =
    aResult.mHasResponse && aResult.mStatus == kOk ? DecodeList(aResult.mBody) : std::nullopt;
  const auto era = EraOfAnswer(aResult);
  if (!page || era < mMirror.Era()) {
    RetryAfterFailure(aResult);
    return;
  }
  SetEra(*page, era);
  if (mListing.mAsOf != 0 && EraOf(mListing.mAsOf) != era) {
    // The pages so far are of another era.
    List({});
    return;
  }
  if (mListing.mAsOf == 0) {
    mListing.mAsOf = page->mAsOf;
  }
  mListing.mObjects.insert(mListing.mObjects.end(), page->mObjects.begin(), page->mObjects.end());
  if (page->mHasMore) {
    ListNextPage(*page);
    return;
  }
  if (!mListedAfter.empty()) {
    CatchUpWithList();
    return;
  }
  FinishList();
}

/** Asks for what has changed between the first page of the list and the last one, so that all its
    objects are of one state. */
void StoreWatcher::CatchUpWithList()
{
  Call(WatchTarget(mKind, mListing.mAsOf, kCatchUpWait),
       kCatchUpWait,
       kListTimeout,
       &StoreWatcher::OnListCaughtUp);
}

void StoreWatcher::OnListCaughtUp(const CallResult& aResult)
{
  const auto era = EraOfAnswer(aResult);
  if ((aResult.mHasResponse && aResult.mStatus == kHistoryGone) || era != EraOf(mListing.mAsOf)) {
    RetryAfterFailure("the list was out of date when it ended");
    return;
  }
  auto page =
    aResult.mHasResponse && aResult.mStatus == kOk ? DecodeEvents(aResult.mBody) : std::nullopt;
  if (!page) {
    RetryAfterFailure(aResult);
    return;
  }
  SetEra(*page, era);
  ApplyEvents(mListing, *page);
  FinishList();
}

void StoreWatcher::FinishList()
{
  mIsListing = false;
  const auto origin = OriginOfList();
  OnAnswered();
  mWatchRevision = mListing.mAsOf;
  mMirror.Replace(mKind, mListing, Now(), origin);
  mListing = KindSnapshot{};
  mListener.OnStoreSuccess(mKind);
  Watch(kWatchWait, kWatchWait + kWatchTimeoutMargin);
}

/** A call that fails alone, such as a watch that the store cuts off, says nothing about the
   entries: what a list lacks after it was removed. */
ListOrigin StoreWatcher::OriginOfList() const
{
  const bool wasAway = mAwaySince && Now() - *mAwaySince >= kOutageAge;
  return wasAway ? ListOrigin::AfterOutage : mListener.OriginOfList();
}

void StoreWatcher::OnAnswered()
{
  mFailures = 0;
  mAwaySince.reset();
}

void StoreWatcher::CountFailure()
{
  ++mFailures;
  if (!mAwaySince) {
    mAwaySince = std::min(mAnswerDue, Now());
  }
}

/** Lists on after the last object of a page. Fails if the page has none, or was listed after
   before: the list would not end. */
void StoreWatcher::ListNextPage(const StorePage& aPage)
{
  if (aPage.mObjects.empty()) {
    RetryAfterFailure("a page of the list has no readable object");
    return;
  }
  const auto& after = aPage.mObjects.back().mName;
  if (!mListedAfter.insert(after).second) {
    RetryAfterFailure("the list makes no progress after " +
                      Json::valueToQuotedString(after.c_str()));
    return;
  }
  List(after);
}

/** @param aWait  time after which the store answers without a change */
void StoreWatcher::Watch(milliseconds aWait, milliseconds aTimeout)
{
  if (mIsStopped) {
    return;
  }
  mIsListing = false;
  Call(WatchTarget(mKind, mWatchRevision, aWait), aWait, aTimeout, &StoreWatcher::OnWatched);
}

void StoreWatcher::OnWatched(const CallResult& aResult)
{
  const auto era = EraOfAnswer(aResult);
  const bool isAnswered = aResult.mHasResponse && aResult.mStatus == kOk;
  if ((aResult.mHasResponse && aResult.mStatus == kHistoryGone) ||
      (isAnswered && era > EraOf(mWatchRevision))) {
    List({});
    return;
  }
  auto page = isAnswered ? DecodeEvents(aResult.mBody) : std::nullopt;
  if (!page || era < mMirror.Era()) {
    RetryAfterFailure(aResult);
    return;
  }
  SetEra(*page, era);
  OnAnswered();
  mWatchRevision = std::max(mWatchRevision, page->mAsOf);
  for (const auto& it : page->mObjects) {
    mListener.OnStoreChange(it.mRevision);
  }
  mMirror.Apply(mKind, *page, Now());
  mListener.OnStoreSuccess(mKind);
  if (page->mObjects.empty()) {
    Watch(kWatchWait, kWatchWait + kWatchTimeoutMargin);
    return;
  }
  mPauseTimer.expires_after(CoalescingDelay(mKind));
  mPauseTimer.async_wait([self = shared_from_this()](const boost::system::error_code& aError) {
    if (!aError) {
      self->Watch(kWatchWait, kWatchWait + kWatchTimeoutMargin);
    }
  });
}

void StoreWatcher::RetryAfterFailure(const CallResult& aResult)
{
  RetryAfterFailure(aResult.mHasResponse ? "status " + std::to_string(aResult.mStatus)
                                         : "no answer");
  if (aResult.mHasResponse && aResult.mStatus < kServerErrors) {
    mAwaySince.reset(); // It refuses this call, but is there.
  }
}

void StoreWatcher::RetryAfterFailure(const std::string& aReason)
{
  mListener.OnStoreFailure(mKind, aReason);
  CountFailure();
  ScheduleRetry();
}

void StoreWatcher::ScheduleRetry()
{
  const auto pause = kInitialBackoff * (1U << std::min(mFailures - 1, kMaxDoublings));
  mPauseTimer.expires_after(
    std::chrono::duration_cast<milliseconds>(pause * (0.5 + 0.5 * mJitter())));
  mPauseTimer.async_wait([self = shared_from_this()](const boost::system::error_code& aError) {
    if (aError || self->mIsStopped) {
      return;
    }
    if (self->mListener.MayRetry(self->mKind)) {
      self->Retry();
    } else {
      self->ScheduleRetry();
    }
  });
}

void StoreWatcher::Retry()
{
  // Entries of endpoints expire, also while the store is away; a list shows which were lost so.
  if (mKind == ObjectKind::Endpoints || mWatchRevision == 0) {
    List({});
  } else {
    Watch(kCatchUpWait, kListTimeout);
  }
}

} // namespace skylarkchute
