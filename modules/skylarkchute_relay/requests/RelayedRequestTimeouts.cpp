#include "RelayedRequest.h"

#include <algorithm>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

/** Interval at which a replacement is looked for while an endpoint is silent. */
constexpr milliseconds kReplacementInterval{ 250 };

/** Interval at which an attempt without a first byte checks whether its zone is avoided. */
constexpr milliseconds kZoneCheckInterval{ 200 };

/** A timer that fires later than this shows that the event loop was stalled. Bytes that arrived
    meanwhile are read before the endpoint counts as silent. */
constexpr milliseconds kStallTolerance{ 100 };

TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

void RelayedRequest::ArmAttemptTimer(milliseconds aTime)
{
  mTimeoutAt = Now() + aTime;
  // Until the first byte, a zone that is avoided from now on ends the wait early.
  const bool isWatched = mAttempt && !mHasFirstByte && mContext.mRouter.Zones().IsInForce();
  mAttemptTimer.expires_after(isWatched ? std::min(aTime, kZoneCheckInterval) : aTime);
  mAttemptTimer.async_wait(
    [self = shared_from_this(), number = ++mTimerNumber](const boost::system::error_code& aError) {
      if (!aError) {
        self->OnAttemptTimer(number);
      }
    });
}

/** Cancels the timer, also if it has expired and its handler is queued. */
void RelayedRequest::CancelAttemptTimer()
{
  ++mTimerNumber;
  mAttemptTimer.cancel();
}

void RelayedRequest::OnAttemptTimer(std::uint64_t aNumber)
{
  if (aNumber != mTimerNumber || mIsFinished) {
    return;
  }
  if (mTicket) {
    mContext.mWaiters.Schedule(mContext.mLoop, mContext.mRouter);
    return;
  }
  const auto left = std::chrono::ceil<milliseconds>(mTimeoutAt - Now());
  if (Now() - mAttemptTimer.expiry() > kStallTolerance) {
    ArmAttemptTimer(std::max(kStallTolerance, left));
    return;
  }
  if (!mAttempt) {
    TryNextAttempt();
  } else if (left.count() > 0 && !mContext.mRouter.HasLostZone(*mAttempt)) {
    ArmAttemptTimer(left);
  } else {
    OnAttemptTimeout();
  }
}

/** Lets the first event of a stream whose head has come take as long as any other may. */
void RelayedRequest::AwaitFirstEvent()
{
  const auto gap = mPlan->mRoute->mMaxEventGap;
  const auto timeout = mContext.mRouter.FirstByteTimeout(*mPlan, *mAttempt, mSentAt);
  if (timeout && mSentAt + *timeout < Now() + gap) {
    ArmAttemptTimer(gap);
  }
}

/** Starts the timeout for the rest of an answer that is under way. */
void RelayedRequest::AwaitMore()
{
  if (mAttempt && mPlan->mRoute->IsRetryable()) {
    ArmAttemptTimer(mContext.mRouter.StreamPauseTimeout(*mPlan, Now()));
  }
}

void RelayedRequest::OnAttemptTimeout()
{
  if (!mWasSent) {
    mConnection->Close();
    EndAttempt(RelayOutcome::Unreachable);
    TryNextAttempt();
    return;
  }
  const bool hasCopy = mHedge && mHedge->IsInProgress();
  if (hasCopy && !mHedge->IsSilent(Now())) {
    WaitOnSilentEndpoint();
    return;
  }
  auto plan = *mPlan;
  if (hasCopy) {
    // The replacement takes the place of both.
    ++plan.mRuns;
    plan.mTried.push_back(mHedge->Attempt().mEndpoint);
  }
  auto replacement = mContext.mRouter.ReplaceSilentAttempt(plan, *mAttempt, Now());
  if (!replacement) {
    WaitOnSilentEndpoint();
    return;
  }
  CancelHedge(RelayOutcome::TimedOut);
  mConnection->Close();
  if (mAttempt->mIsConnectionReused) {
    mContext.mPool.CloseIdleConnections(mAttempt->mEndpoint);
  }
  EndAttempt(RelayOutcome::TimedOut);
  SendAttempt(std::move(*replacement));
}

/** Keeps the attempt, because its endpoint may go on and nothing else can answer the caller. */
void RelayedRequest::WaitOnSilentEndpoint()
{
  if (!std::exchange(mIsSilent, true)) {
    mContext.mMetrics.Add("skylarkchute_silent_attempts_total", "");
    mContext.mRouter.OnSilence(*mPlan, *mAttempt, Now());
  }
  ArmAttemptTimer(kReplacementInterval);
}

/** Tries again after a while, also at endpoints that did not answer before. */
void RelayedRequest::WaitForAttempt()
{
  mPlan->mTried.clear();
  ArmAttemptTimer(kReplacementInterval);
}

} // namespace skylarkchute
