#include "StoreWatcher.h"

#include <algorithm>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

/** A watch returns after this time without a change. A connection that fell silent is found sooner,
   by its probes. */
constexpr milliseconds kWatchWait{ 25000 };
constexpr milliseconds kWatchMargin{ 1500 };
constexpr milliseconds kListTimeout{ 2500 };

/** Pause after a failed call, doubled for each further one; with jitter between half and all. */
constexpr milliseconds kFirstPause{ 120 };
constexpr std::uint32_t kMostDoublings = 3;

/** Fleets of this size and smaller pause for the shortest time; larger ones in proportion, since a
    change wakes every instance, up to the factor. */
constexpr std::size_t kSmallFleet = 12;
constexpr double kMostFactor = 4;

/** Returns the pause before the next watch after a change. Each call is priced, and changes come in
    series; the pause has to stay well below the time in which the kind's changes take effect. */
milliseconds GatherTime(ObjectKind aKind)
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
  }
  return milliseconds(0);
}

constexpr unsigned kOk = 200;
constexpr unsigned kHistoryGone = 410;

} // namespace

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
  mFailures = 0;
  List({});
}

void StoreWatcher::Stop()
{
  mIsStopped = true;
  mPauseTimer.cancel();
  mCall->Cancel();
}

void StoreWatcher::List(const std::string& aAfter)
{
  if (aAfter.empty()) {
    mListing = KindSnapshot{};
  }
  mCall->Start("GET",
               ListTarget(mKind, aAfter),
               {},
               kListTimeout,
               [self = shared_from_this()](const CallResult& aResult) { self->OnListed(aResult); });
}

void StoreWatcher::OnListed(const CallResult& aResult)
{
  const auto page =
    aResult.mHasAnswer && aResult.mStatus == kOk ? DecodeList(aResult.mBody) : std::nullopt;
  if (!page) {
    Fail(aResult);
    return;
  }
  if (mListing.mAsOf == 0) {
    mListing.mAsOf = page->mAsOf;
  }
  mListing.mObjects.insert(mListing.mObjects.end(), page->mObjects.begin(), page->mObjects.end());
  if (page->mHasMore && !page->mObjects.empty()) {
    List(page->mObjects.back().mName);
    return;
  }
  mFailures = 0;
  mWatchFrom = mListing.mAsOf;
  mMirror.Replace(mKind, mListing, std::chrono::steady_clock::now());
  mListing = KindSnapshot{};
  mListener.OnStoreAnswer(mKind);
  Watch();
}

void StoreWatcher::Watch()
{
  if (mIsStopped) {
    return;
  }
  mCall->Start(
    "GET",
    WatchTarget(mKind, mWatchFrom, kWatchWait),
    {},
    kWatchWait + kWatchMargin,
    [self = shared_from_this()](const CallResult& aResult) { self->OnWatched(aResult); });
}

void StoreWatcher::OnWatched(const CallResult& aResult)
{
  if (aResult.mHasAnswer && aResult.mStatus == kHistoryGone) {
    List({});
    return;
  }
  const auto page =
    aResult.mHasAnswer && aResult.mStatus == kOk ? DecodeEvents(aResult.mBody) : std::nullopt;
  if (!page) {
    Fail(aResult);
    return;
  }
  mFailures = 0;
  mWatchFrom = std::max(mWatchFrom, page->mAsOf);
  mMirror.Apply(mKind, *page, std::chrono::steady_clock::now());
  mListener.OnStoreAnswer(mKind);
  if (page->mObjects.empty()) {
    Watch();
    return;
  }
  const double factor = std::clamp(static_cast<double>(mInstances) / kSmallFleet, 1.0, kMostFactor);
  mPauseTimer.expires_after(std::chrono::duration_cast<milliseconds>(GatherTime(mKind) * factor));
  mPauseTimer.async_wait([self = shared_from_this()](const boost::system::error_code& aError) {
    if (!aError) {
      self->Watch();
    }
  });
}

void StoreWatcher::Fail(const CallResult& aResult)
{
  mListener.OnStoreFailure(
    mKind, aResult.mHasAnswer ? "status " + std::to_string(aResult.mStatus) : "no answer");
  const auto pause = kFirstPause * (1U << std::min(mFailures, kMostDoublings));
  ++mFailures;
  mPauseTimer.expires_after(
    std::chrono::duration_cast<milliseconds>(pause * (0.5 + 0.5 * mJitter())));
  mPauseTimer.async_wait([self = shared_from_this()](const boost::system::error_code& aError) {
    if (!aError && !self->mIsStopped) {
      self->List({});
    }
  });
}

} // namespace skylarkchute
