#include "RelayedRequest.h"

namespace skylarkchute {

namespace {

TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

/** Lets a copy of the attempt that is about to be sent follow if its answer takes long. */
void RelayedRequest::StartHedge()
{
  // The answer to HEAD has no body, in which a copy could be seen to have answered.
  if (IsHead()) {
    return;
  }
  const auto delay = mContext.mRouter.HedgeDelay(*mPlan, *mAttempt, Now());
  if (delay) {
    mHedge = std::make_shared<HedgedAttempt>(mContext, weak_from_this(), mId);
    mHedge->Start(*delay);
  }
}

/** Ends the copy, unless it is the current attempt. */
void RelayedRequest::CancelHedge(RelayOutcome aOutcome)
{
  if (const auto hedge = mHedge) {
    hedge->Cancel(aOutcome);
  }
}

/** Makes the copy the current attempt after the former one has ended.
    @returns false if no copy is in progress */
bool RelayedRequest::TakeOverHedge()
{
  const auto hedge = mHedge;
  if (!hedge || !hedge->IsInProgress()) {
    return false;
  }
  auto held = hedge->TakeOver();
  BeginAttempt(hedge->Attempt(), hedge->SentAt());
  mConnection = hedge->Connection();
  mWasSent = hedge->WasSent();
  if (const auto timeout = mContext.mRouter.FirstByteTimeout(*mPlan, *mAttempt, Now())) {
    ArmAttemptTimer(*timeout);
  }
  if (!held) {
    return true;
  }
  // Each step may end the attempt and start another one.
  const auto isCurrent = [this, number = mAttempt->mNumber] {
    return mAttempt && mAttempt->mNumber == number;
  };
  mEndpointHead = held->mHead;
  AcceptHead(held->mStatus, held->mFields, held->mEndsWithConnection);
  if (isCurrent() && !held->mBody.empty()) {
    OnBody(std::move(held->mBody));
  }
  if (isCurrent() && held->mIsComplete) {
    OnDone(held->mIsReusable);
  }
  return true;
}

const AttemptPlan* RelayedRequest::HedgeableAttempt() const
{
  // The rest of an answer that has begun is not sooner elsewhere. Only a stream's head without a
  // confidence may come before there is anything to send.
  const bool hasBegun =
    mHasFirstByte || mHasStreamStarted ||
    (mResponse.mStatus != 0 && (!mIsStream || mEndpointHead.mConfidence.has_value()));
  return mIsFinished || !mAttempt || !mWasSent || hasBegun ? nullptr : &*mAttempt;
}

std::string RelayedRequest::EncodeHead(const AttemptPlan& aAttempt, TimePoint aNow) const
{
  const auto left =
    std::chrono::duration_cast<std::chrono::milliseconds>(mPlan->mEnd - aNow) - kDeadlineMargin;
  const auto lastEvent = mEvents.Last() ? std::to_string(*mEvents.Last()) : std::string();
  return aAttempt.IsForwarded()
           ? EncodeForwardedHead(mHead, left, lastEvent, mBody->size())
           : EncodeEndpointHead(mHead, *mPlan, aAttempt, left, lastEvent, mBody->size());
}

bool RelayedRequest::CheckCaller()
{
  const auto responder = mResponder.lock();
  if (responder && responder->IsConnected()) {
    return true;
  }
  mContext.mMetrics.Add("skylarkchute_departed_callers_total", "");
  OnCallerDisconnected();
  return false;
}

void RelayedRequest::OnHedgeAnswered()
{
  const auto now = Now();
  const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(now - mSentAt);
  mContext.mRouter.OnOvertaken(*mPlan, *mAttempt, elapsed, now);
  mConnection->Close();
  EndAttempt(RelayOutcome::Overtaken);
  TakeOverHedge();
}

} // namespace skylarkchute
