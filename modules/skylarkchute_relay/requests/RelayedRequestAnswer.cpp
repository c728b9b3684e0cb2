#include "RelayedRequest.h"

#include "../events/RelayEvents.h"
#include "EndpointNoticeRecord.h"

#include <algorithm>

namespace skylarkchute {

namespace {

constexpr unsigned kBadRequest = 400;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kGatewayTimeout = 504;
constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kFirstRedirection = 300;
constexpr unsigned kFirstServerError = 500;

TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

bool IsSuccess(unsigned aStatus)
{
  return aStatus >= kFirstSuccess && aStatus < kFirstRedirection;
}

} // namespace

HeadChoice RelayedRequest::OnHead(const ResponseReader& aReader)
{
  mEndpointHead = DecodeEndpointHead(aReader.Status(), aReader.Fields());
  RecordEndpointNotice(mContext, *mAttempt, mEndpointHead, mId);
  if (!mEndpointHead.mRequestId.empty() && mEndpointHead.mRequestId != mId) {
    return HeadChoice::Skip;
  }
  if (mEndpointHead.mRequestId.empty()) {
    // It may be a late copy of an earlier answer, so its connection is not used again.
    DropDamagedAttempt();
    return HeadChoice::Accept;
  }
  if (mEndpointHead.mLoad) {
    mContext.mRouter.OnLoad(*mAttempt, *mEndpointHead.mLoad, Now());
    mContext.mWaiters.Schedule(mContext.mLoop, mContext.mRouter);
  }
  AcceptHead(aReader.Status(), aReader.Fields(), aReader.EndsWithConnection());
  return HeadChoice::Accept;
}

/** Handles the head of the current attempt's response, which mEndpointHead holds decoded. */
void RelayedRequest::AcceptHead(unsigned aStatus,
                                const boost::beast::http::fields& aFields,
                                bool aEndsWithConnection)
{
  mResponse.mStatus = aStatus;
  mResponse.mFields = aFields;
  mEndsWithConnection = aEndsWithConnection;
  const bool isValid =
    mEndpointHead.mHasSeal && !mEndpointHead.mHasContentEncoding && mEndpointHead.mRequestId == mId;
  mIsStream = mPlan->mRoute->mKind == RequestKind::Stream && isValid &&
              IsSuccess(mEndpointHead.mStatus) && !IsHead();
  if (!mIsStream) {
    AwaitMore();
    return;
  }
  if (mEndpointHead.mConfidence) {
    // The answer is there, or is asked of a larger model next.
    CancelHedge(RelayOutcome::Overtaken);
  }
  const bool hasLowConfidence =
    !mHasStreamStarted && mEndpointHead.mConfidence &&
    mContext.mRouter.JudgeConfidence(*mPlan, *mAttempt, *mEndpointHead.mConfidence, Now());
  if (hasLowConfidence) {
    SwitchToLargerModel();
  } else {
    AwaitFirstEvent();
  }
}

void RelayedRequest::SwitchToLargerModel()
{
  auto decision = mContext.mRouter.NextAttempt(*mPlan, true, Now());
  if (!std::holds_alternative<AttemptPlan>(decision)) {
    mContext.mRouter.OnAnswerKept(*mPlan, *mAttempt);
    return;
  }
  RecordFirstByte();
  mConnection->Close();
  EndAttempt(RelayOutcome::Superseded);
  SendAttempt(std::move(std::get<AttemptPlan>(decision)));
}

void RelayedRequest::RecordFirstByte()
{
  if (mHasFirstByte) {
    return;
  }
  mHasFirstByte = true;
  CancelHedge(RelayOutcome::Overtaken);
  mFirstByteAt = Now();
  const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(Now() - mSentAt);
  if (mContext.mLog.Accepts(kAnswerBegun)) {
    LogFirstByte(latency);
  }
  mContext.mMetrics.Record(
    "skylarkchute_first_byte_seconds", "route=\"" + mPlan->mRoute->mName + "\"", latency);
  CountModelReasons();
  mContext.mRouter.OnFirstByte(*mPlan, *mAttempt, latency, Now());
}

bool RelayedRequest::HasAnswerGotFar() const
{
  return mHasFirstByte && Now() - mFirstByteAt >= PromptPartSuspects::kProofTime;
}

void RelayedRequest::RecordProgress()
{
  if (!mHasProgress && HasAnswerGotFar()) {
    mHasProgress = true;
    mContext.mRouter.OnProgress(*mPlan, Now());
  }
}

void RelayedRequest::OnBody(std::string aBytes)
{
  if (mIsStream) {
    if ((!ForwardEvents(mSplitter.Feed(aBytes)) || mSplitter.IsEventTooLong()) && mAttempt) {
      DropDamagedAttempt();
    }
    return;
  }
  if (!mResponse.mMemory.Grow(aBytes.size())) {
    DropDamagedAttempt();
    return;
  }
  mResponse.mBody.append(aBytes);
  AwaitMore();
}

/** Gives up an answer before its end and starts the next attempt. */
void RelayedRequest::DropDamagedAttempt()
{
  mConnection->Close();
  EndAttempt(RelayOutcome::Damaged);
  TryNextAttempt();
}

/** Sends the caller the events that it has not received yet.
    @returns false when the event IDs have a gap, or when what goes on with a stream of numbered
             events has none; the events from there on are not sent */
bool RelayedRequest::ForwardEvents(const std::vector<StreamEvent>& aEvents)
{
  const auto responder = mResponder.lock();
  if (!responder || aEvents.empty()) {
    return true;
  }
  // Comments are passed on within a stream, but show no progress.
  const bool hasEvent = std::any_of(
    aEvents.begin(), aEvents.end(), [](const auto& aEvent) { return !aEvent.mIsComment; });
  if (!hasEvent && !mHasStreamStarted) {
    return true;
  }
  if (hasEvent) {
    RecordFirstByte();
  }
  RecordProgress();
  std::string bytes;
  bool isContiguous = true;
  for (const auto& it : aEvents) {
    if (it.mIsComment) {
      bytes.append(it.mBytes);
      continue;
    }
    const auto step = mEvents.Take(it);
    if (step == EventSequence::Step::Gap) {
      isContiguous = false;
      break;
    }
    if (step == EventSequence::Step::Forward) {
      bytes.append(it.mBytes);
    }
  }
  if (!bytes.empty()) {
    if (!mHasStreamStarted) {
      mHasStreamStarted = true;
      mPlan->mSize = mAttempt->mSize;
      responder->BeginChunkedResponse(EncodeCallerHead(mResponse.mStatus,
                                                       mResponse.mFields,
                                                       BodyFraming::Chunked,
                                                       0,
                                                       responder->ClosesAfterResponse()));
    }
    responder->SendChunk(bytes);
  }
  mIsSilent = mIsSilent && !hasEvent;
  if (isContiguous && hasEvent) {
    AwaitMore();
  }
  return isContiguous;
}

void RelayedRequest::OnDone(bool aReusable)
{
  CancelAttemptTimer();
  if (mIsStream) {
    FinishStream(aReusable);
  } else {
    FinishBuffered(aReusable);
  }
}

void RelayedRequest::FinishStream(bool aReusable)
{
  // An endpoint that crashes after the head of such a stream ends it in the same way.
  const bool isEmpty = mEndsWithConnection && !mHasFirstByte;
  if (mSplitter.HasPartialEvent() || isEmpty) {
    mConnection->Close();
    OnConnectionFailed(ConnectionFailure::Closed);
    return;
  }
  if (aReusable) {
    mContext.mPool.Release(*mAttempt, mConnection);
  }
  EndAttempt(RelayOutcome::Answered);
  if (const auto responder = mResponder.lock()) {
    if (!mHasStreamStarted) {
      responder->BeginChunkedResponse(EncodeCallerHead(mResponse.mStatus,
                                                       mResponse.mFields,
                                                       BodyFraming::Chunked,
                                                       0,
                                                       responder->ClosesAfterResponse()));
    }
    responder->EndChunkedResponse();
  }
  Finish();
}

void RelayedRequest::FinishBuffered(bool aReusable)
{
  if (aReusable) {
    mContext.mPool.Release(*mAttempt, mConnection);
  }
  const auto& head = mEndpointHead;
  const bool isValid = head.mHasSeal && !head.mHasContentEncoding && head.mRequestId == mId;
  if (head.mStatesNotRun || !isValid) {
    EndAttempt(OutcomeOfFailure());
    TryNextAttempt();
    return;
  }
  if (head.mStatus >= kFirstServerError) {
    mFailureResponse = std::move(mResponse);
    EndAttempt(RelayOutcome::Failed);
    TryNextAttempt();
    return;
  }
  RecordFirstByte();
  EndAttempt(RelayOutcome::Answered);
  if (const auto responder = mResponder.lock(); responder && !mHasStreamStarted) {
    responder->SendResponse(EncodeCallerHead(mResponse.mStatus,
                                             mResponse.mFields,
                                             BodyFraming::Length,
                                             mResponse.mBody.size(),
                                             responder->ClosesAfterResponse()) +
                            mResponse.mBody);
  } else if (responder) {
    responder->Abort();
  }
  Finish();
}

/** Returns the outcome of an attempt whose response is no answer of an endpoint that ran it. */
RelayOutcome RelayedRequest::OutcomeOfFailure() const
{
  const auto& head = mEndpointHead;
  if (head.mRequestId != mId) {
    // It may be of an earlier request on the connection, so it promises nothing.
    return RelayOutcome::Damaged;
  }
  if (head.mStatesNotRun) {
    return head.mIsMisdirected ? RelayOutcome::Misdirected : RelayOutcome::NotRun;
  }
  // A response without a seal is another instance's own. It promises that the request did not run,
  // unless it stands for an answer that did not come.
  const bool isRejection = mAttempt->IsForwarded() && !head.mHasSeal &&
                           head.mStatus >= kBadRequest && head.mStatus != kBadGateway &&
                           head.mStatus != kGatewayTimeout;
  return isRejection ? RelayOutcome::NotRun : RelayOutcome::Damaged;
}

} // namespace skylarkchute
