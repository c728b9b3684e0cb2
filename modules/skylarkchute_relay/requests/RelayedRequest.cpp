#include "RelayedRequest.h"

#include "../net/SocketOptions.h"

#include <algorithm>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

constexpr unsigned kBadRequest = 400;

TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

RelayedRequest::RelayedRequest(RelayContext& aContext,
                               CallerHead aHead,
                               std::string aBody,
                               std::weak_ptr<CallerResponder> aResponder,
                               RequestOrigin aOrigin)
  : mContext(aContext)
  , mHead(std::move(aHead))
  , mBody(std::make_shared<const std::string>(std::move(aBody)))
  , mResponder(std::move(aResponder))
  , mOrigin(aOrigin)
  , mId(RequestIdOf(mHead))
  , mDeadlineTimer(aContext.mLoop)
  , mAttemptTimer(aContext.mLoop)
{
}

void RelayedRequest::Start()
{
  mArrival = Now();
  auto request = DecodeRequest(mHead);
  if (!request) {
    SendErrorResponse(kBadRequest, "the request has no id, host or path", milliseconds(0));
    return;
  }
  if (mContext.mRefusesNew) {
    Refuse({ RefusalReason::Leaving, kShutdownRetryAfter });
    return;
  }
  request->mIsForwarded = mOrigin == RequestOrigin::Instance;
  request->mFingerprint = StableHash(*mBody, StableHash(request->mKey, StableHash(mHead.mTarget)));
  if (mContext.mStartupQueue.IsHolding()) {
    mContext.mStartupQueue.Hold(
      [self = shared_from_this(), request = *request] { self->AdmitRequest(request); });
    return;
  }
  AdmitRequest(*request);
}

void RelayedRequest::AdmitRequest(const RelayRequest& aRequest)
{
  if (mIsFinished) {
    return;
  }
  auto admitted = mContext.mRouter.Admit(aRequest, mArrival);
  if (const auto* refusal = std::get_if<RelayRefusal>(&admitted)) {
    Refuse(*refusal);
    return;
  }
  mPlan = std::move(std::get<RequestPlan>(admitted));
  mDeadlineTimer.expires_at(mPlan->mEnd);
  mDeadlineTimer.async_wait([self = shared_from_this()](const boost::system::error_code& aError) {
    if (!aError) {
      self->EndUnanswered({ RefusalReason::DeadlinePassed, milliseconds(0) });
    }
  });
  StartAttempt(false);
}

void RelayedRequest::StartAttempt(bool aWantsLargerModel)
{
  auto decision = mContext.mRouter.NextAttempt(*mPlan, aWantsLargerModel, Now());
  if (const auto* refusal = std::get_if<RelayRefusal>(&decision)) {
    FailRequest(*refusal);
    return;
  }
  if (const auto* wait = std::get_if<AdmissionWait>(&decision)) {
    WaitForRoom(*wait);
    return;
  }
  SendAttempt(std::move(std::get<AttemptPlan>(decision)));
}

/** Waits until the router lets the request go or refuses it. */
void RelayedRequest::WaitForRoom(const AdmissionWait& aWait)
{
  const auto now = Now();
  mWaitsSince = mPlan->mAdmission.mWaitsSince.value_or(now);
  // What was sent before has not run, or is counted in the plan.
  mWasSent = false;
  mTicket = mContext.mRouter.BeginWait(*mPlan, aWait, now);
  ArmAttemptTimer(std::max(milliseconds(0), std::chrono::ceil<milliseconds>(aWait.mUntil - now)));
  mContext.mWaiters.Add(*mTicket, [self = shared_from_this()](const RelayRefusal* aRefusal) {
    self->OnRoom(aRefusal);
  });
  mContext.mWaiters.Schedule(mContext.mLoop, mContext.mRouter);
}

/** Continues after the wait for room. */
void RelayedRequest::OnRoom(const RelayRefusal* aRefusal)
{
  mTicket.reset();
  if (mIsFinished) {
    return;
  }
  CancelAttemptTimer();
  mContext.mMetrics.Record(
    "skylarkchute_admission_wait_seconds",
    "outcome=\"" + std::string(aRefusal == nullptr ? "released" : "refused") + "\"",
    std::chrono::duration_cast<std::chrono::microseconds>(Now() - mWaitsSince));
  if (aRefusal != nullptr) {
    FailRequest(*aRefusal);
    return;
  }
  mPlan->mAdmission.mIsReleased = true;
  StartAttempt(false);
}

void RelayedRequest::LeaveQueue()
{
  if (const auto ticket = std::exchange(mTicket, std::nullopt)) {
    mContext.mWaiters.Remove(*ticket);
    mContext.mRouter.EndWait(*mPlan, *ticket);
  }
}

/** Resets the state of the former attempt. */
void RelayedRequest::BeginAttempt(AttemptPlan aAttempt, TimePoint aSentAt)
{
  // A copy that still waits belongs to the former attempt.
  CancelHedge(RelayOutcome::Abandoned);
  mAttempt = std::move(aAttempt);
  mWasSent = false;
  mHasFirstByte = false;
  mHasProgress = false;
  mIsSilent = false;
  mIsStream = false;
  mEvents.BeginAttempt();
  mEndpointHead = EndpointHead{};
  mResponse = BufferedResponse{};
  mResponse.mMemory = AnswerMemory::Share(mContext.mAnswerMemory);
  mSplitter = EventSplitter{};
  mSentAt = aSentAt;
}

void RelayedRequest::SendAttempt(AttemptPlan aAttempt)
{
  const auto now = Now();
  BeginAttempt(std::move(aAttempt), now);
  const auto address = ParseSocketAddress(mAttempt->mAddress);
  if (!address) {
    EndAttempt(RelayOutcome::Unreachable);
    TryNextAttempt();
    return;
  }
  auto head = EncodeHead(*mAttempt, now);
  // A repeat does not rely on another connection that may have been lost as the one before.
  const bool isRepeat = mPlan->mRuns > 0;
  mConnection = mContext.mPool.Acquire(
    *mAttempt, mId, !mPlan->mRoute->IsRetryable() || mAttempt->mNeedsNewConnection || isRepeat);
  mAttempt->mIsConnectionReused = mConnection->IsIdle();
  if (const auto timeout = mContext.mRouter.FirstByteTimeout(*mPlan, *mAttempt, now)) {
    ArmAttemptTimer(*timeout);
  }
  // Sending may end the attempt, which releases mConnection.
  const auto connection = mConnection;
  connection->Send(*address, std::move(head), mBody, shared_from_this());
}

bool RelayedRequest::OnSending()
{
  // When the event loop is late, the request may be read long after its caller has left.
  if (!CheckCaller()) {
    return false;
  }
  mWasSent = true;
  mContext.mRouter.OnSent(*mPlan, *mAttempt, Now());
  StartHedge();
  return true;
}

void RelayedRequest::OnConnectionFailed(ConnectionFailure aFailure)
{
  auto outcome = RelayOutcome::Lost;
  if (aFailure == ConnectionFailure::NotConnected || aFailure == ConnectionFailure::Reset) {
    mAttempt->mWasConnected = aFailure == ConnectionFailure::Reset;
    outcome = RelayOutcome::Unreachable;
  } else if (aFailure == ConnectionFailure::Malformed) {
    outcome = RelayOutcome::Damaged;
  }
  EndAttempt(outcome);
  TryNextAttempt();
}

void RelayedRequest::EndAttempt(RelayOutcome aOutcome)
{
  if (!mAttempt) {
    return;
  }
  CancelAttemptTimer();
  LogFailedAttempt(aOutcome);
  if (mWasSent && MayHaveRun(aOutcome) && aOutcome != RelayOutcome::Answered &&
      !HasAnswerGotFar()) {
    mContext.mRouter.OnEndedEarly(*mPlan, *mAttempt, aOutcome, Now());
    if (aOutcome == RelayOutcome::Lost && !mAttempt->IsForwarded()) {
      mContext.mCrashProbe.OnConnectionLost(*mAttempt);
    }
  }
  if (mAttempt->IsForwarded()) {
    mContext.mMetrics.Add("skylarkchute_forwarded_total",
                          "outcome=\"" + std::string(RelayOutcomeName(aOutcome)) + "\"");
  }
  if (aOutcome == RelayOutcome::NotRun && !mAttempt->IsForwarded()) {
    mContext.mMetrics.Add("skylarkchute_endpoint_rejections_total",
                          "endpoint=\"" + mAttempt->mEndpoint.Value() + "\"");
  }
  mContext.mMetrics.Add("skylarkchute_attempts_total",
                        "outcome=\"" + std::string(RelayOutcomeName(aOutcome)) + "\"");
  mContext.mRouter.OnEnded(*mPlan, *mAttempt, aOutcome, Now());
  mContext.mWaiters.Schedule(mContext.mLoop, mContext.mRouter);
  mAttempt.reset();
  mConnection.reset();
}

/** Starts the next attempt after a failed one, or goes on with the copy in progress. Fails the
   request when no further attempt is allowed. */
void RelayedRequest::TryNextAttempt()
{
  if (mIsFinished || TakeOverHedge()) {
    return;
  }
  StartAttempt(false);
}

void RelayedRequest::OnCallerDisconnected()
{
  if (mIsFinished) {
    return;
  }
  if (mConnection) {
    mConnection->Close();
  }
  EndAttempt(RelayOutcome::Abandoned);
  Finish();
}

void RelayedRequest::Finish()
{
  mIsFinished = true;
  LeaveQueue();
  CancelHedge(RelayOutcome::Abandoned);
  mDeadlineTimer.cancel();
  CancelAttemptTimer();
  mConnection.reset();
  // The caller may take long to read the response; these are no longer needed.
  mResponse = BufferedResponse{};
  mFailureResponse.reset();
  mBody.reset();
}

} // namespace skylarkchute
