#include "HedgedAttempt.h"

#include "../events/RelayEvents.h"
#include "../net/SocketOptions.h"
#include "EndpointNoticeRecord.h"

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

/** A timer that fires later than this shows that the event loop was stalled. The first attempt's
    answer may have arrived meanwhile, and is read before a copy is sent. */
constexpr milliseconds kStallTolerance{ 100 };

constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kFirstRedirection = 300;
constexpr unsigned kFirstServerError = 500;

TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

HedgedAttempt::HedgedAttempt(RelayContext& aContext,
                             std::weak_ptr<HedgeOwner> aOwner,
                             std::string aId)
  : mContext(aContext)
  , mOwner(std::move(aOwner))
  , mId(std::move(aId))
  , mTimer(aContext.mLoop)
{
}

void HedgedAttempt::Start(milliseconds aDelay)
{
  mDelay = aDelay;
  WaitFor(aDelay);
}

void HedgedAttempt::WaitFor(milliseconds aTime)
{
  mTimer.expires_after(aTime);
  mTimer.async_wait([self = shared_from_this()](const boost::system::error_code& aError) {
    if (!aError) {
      self->OnDue();
    }
  });
}

void HedgedAttempt::OnDue()
{
  const auto owner = mOwner.lock();
  if (mState != State::Waiting || !owner) {
    return;
  }
  if (Now() - mTimer.expiry() > kStallTolerance) {
    WaitFor(kStallTolerance);
    return;
  }
  const auto* first = owner->HedgeableAttempt();
  if (first == nullptr) {
    mState = State::Ended;
    return;
  }
  mFirstEndpoint = first->mEndpoint;
  auto decision = mContext.mRouter.PlanHedge(owner->Plan(), *first, Now());
  if (const auto* limit = std::get_if<HedgeLimit>(&decision)) {
    mState = State::Ended;
    mContext.mMetrics.Add("skylarkchute_hedges_refused_total",
                          "limit=\"" + std::string(HedgeLimitName(*limit)) + "\"");
    return;
  }
  Send(*owner, std::move(std::get<AttemptPlan>(decision)));
}

void HedgedAttempt::Send(HedgeOwner& aOwner, AttemptPlan aAttempt)
{
  mAttempt = std::move(aAttempt);
  mState = State::InProgress;
  mSentAt = Now();
  mMemory = AnswerMemory::Share(mContext.mAnswerMemory);
  const auto address = ParseSocketAddress(mAttempt->mAddress);
  if (!address) {
    End(RelayOutcome::Unreachable);
    return;
  }
  mConnection = mContext.mPool.Acquire(*mAttempt, mId, mAttempt->mNeedsNewConnection);
  // Sending may end the attempt, which releases mConnection.
  const auto connection = mConnection;
  connection->Send(
    *address, aOwner.EncodeHead(*mAttempt, mSentAt), aOwner.Body(), shared_from_this());
}

bool HedgedAttempt::OnSending()
{
  const auto owner = mOwner.lock();
  if (mState == State::TakenOver && owner) {
    return owner->OnSending();
  }
  if (!owner) {
    mConnection->Close();
    return false;
  }
  if (!owner->CheckCaller()) {
    return false;
  }
  mWasSent = true;
  mContext.mRouter.OnSent(owner->Plan(), *mAttempt, Now());
  mContext.mMetrics.Add("skylarkchute_hedges_sent_total", ServiceLabel(*owner));
  return true;
}

std::string HedgedAttempt::ServiceLabel(HedgeOwner& aOwner) const
{
  return "service=\"" + aOwner.Plan().mService.Value() + "\"";
}

HeadChoice HedgedAttempt::OnHead(const ResponseReader& aReader)
{
  const auto owner = mOwner.lock();
  if (mState == State::TakenOver && owner) {
    return owner->OnHead(aReader);
  }
  auto head = DecodeEndpointHead(aReader.Status(), aReader.Fields());
  RecordEndpointNotice(mContext, *mAttempt, head, mId);
  if (!head.mRequestId.empty() && head.mRequestId != mId) {
    return HeadChoice::Skip;
  }
  if (head.mRequestId.empty()) {
    // It may be a late copy of an earlier answer, so its connection is not used again.
    End(RelayOutcome::Damaged);
    return HeadChoice::Accept;
  }
  if (head.mLoad) {
    mContext.mRouter.OnLoad(*mAttempt, *head.mLoad, Now());
    mContext.mWaiters.Schedule(mContext.mLoop, mContext.mRouter);
  }
  if (!owner) {
    mConnection->Close();
    return HeadChoice::Accept;
  }
  auto& plan = owner->Plan();
  const bool isValid = head.mHasSeal && !head.mHasContentEncoding && head.mRequestId == mId;
  mIsStream = plan.mRoute->mKind == RequestKind::Stream && isValid &&
              head.mStatus >= kFirstSuccess && head.mStatus < kFirstRedirection;
  const bool hasLowConfidence =
    mIsStream && head.mConfidence &&
    mContext.mRouter.NeedsLargerModel(plan, *mAttempt, *head.mConfidence, Now());
  if (hasLowConfidence) {
    End(RelayOutcome::Superseded);
    return HeadChoice::Accept;
  }
  mHeardAt = Now();
  mHeld = HeldResponse{ std::move(head),
                        aReader.Status(),
                        aReader.Fields(),
                        aReader.EndsWithConnection(),
                        {},
                        false,
                        false };
  return HeadChoice::Accept;
}

void HedgedAttempt::OnBody(std::string aBytes)
{
  const auto owner = mOwner.lock();
  if (mState == State::TakenOver && owner) {
    owner->OnBody(std::move(aBytes));
    return;
  }
  if (!mMemory.Grow(aBytes.size())) {
    End(RelayOutcome::Damaged);
    return;
  }
  mHeardAt = Now();
  mHeld->mBody.append(aBytes);
  if (mIsStream && !mSplitter.Feed(aBytes).empty()) {
    OnAnswered();
  }
}

void HedgedAttempt::OnDone(bool aReusable)
{
  const auto owner = mOwner.lock();
  if (mState == State::TakenOver && owner) {
    owner->OnDone(aReusable);
    return;
  }
  const auto& head = mHeld->mHead;
  mHeld->mIsReusable = aReusable;
  const bool isOwn = head.mRequestId == mId;
  // A stream that ends before it has won has no event.
  const bool isValid = isOwn && head.mHasSeal && !head.mHasContentEncoding && !mIsStream;
  if (isOwn && head.mStatesNotRun) {
    End(head.mIsMisdirected ? RelayOutcome::Misdirected : RelayOutcome::NotRun);
  } else if (!isValid) {
    End(RelayOutcome::Damaged);
  } else if (head.mStatus >= kFirstServerError) {
    End(RelayOutcome::Failed);
  } else {
    mHeld->mIsComplete = true;
    OnAnswered();
  }
}

void HedgedAttempt::OnConnectionFailed(ConnectionFailure aFailure)
{
  const auto owner = mOwner.lock();
  if (mState == State::TakenOver && owner) {
    owner->OnConnectionFailed(aFailure);
  } else if (aFailure == ConnectionFailure::NotConnected || aFailure == ConnectionFailure::Reset) {
    mAttempt->mWasConnected = aFailure == ConnectionFailure::Reset;
    End(RelayOutcome::Unreachable);
  } else if (aFailure == ConnectionFailure::Malformed) {
    End(RelayOutcome::Damaged);
  } else {
    End(RelayOutcome::Lost);
  }
}

void HedgedAttempt::OnAnswered()
{
  const auto owner = mOwner.lock();
  if (!owner) {
    mConnection->Close();
    return;
  }
  mContext.mMetrics.Add("skylarkchute_hedges_won_total", ServiceLabel(*owner));
  LogEnd("won");
  owner->OnHedgeAnswered();
}

bool HedgedAttempt::IsSilent(TimePoint aNow) const
{
  const auto owner = mOwner.lock();
  if (!owner) {
    return false;
  }
  if (mHeld) {
    return aNow - mHeardAt >= mContext.mRouter.StreamPauseTimeout(owner->Plan(), aNow);
  }
  const auto timeout = mContext.mRouter.FirstByteTimeout(owner->Plan(), *mAttempt, aNow);
  return mContext.mRouter.HasLostZone(*mAttempt) || (timeout && aNow - mSentAt >= *timeout);
}

std::optional<HedgedAttempt::HeldResponse> HedgedAttempt::TakeOver()
{
  mState = State::TakenOver;
  mMemory = AnswerMemory::Share();
  return std::exchange(mHeld, std::nullopt);
}

void HedgedAttempt::Cancel(RelayOutcome aOutcome)
{
  if (mState == State::Waiting) {
    mState = State::Ended;
    mTimer.cancel();
    return;
  }
  End(!mWasSent && aOutcome == RelayOutcome::TimedOut ? RelayOutcome::Unreachable : aOutcome);
}

void HedgedAttempt::End(RelayOutcome aOutcome)
{
  if (mState != State::InProgress) {
    return;
  }
  mState = State::Ended;
  mMemory = AnswerMemory::Share();
  const auto connection = std::exchange(mConnection, nullptr);
  const auto name = std::string(RelayOutcomeName(aOutcome));
  const auto held = std::exchange(mHeld, std::nullopt);
  if (connection && held && held->mIsReusable) {
    mContext.mPool.Release(*mAttempt, connection);
  } else if (connection) {
    connection->Close();
  }
  const auto owner = mOwner.lock();
  if (!owner) {
    return;
  }
  LogEnd(name);
  if (mWasSent && MayHaveRun(aOutcome)) {
    mContext.mRouter.OnEndedEarly(owner->Plan(), *mAttempt, aOutcome, Now());
    if (aOutcome == RelayOutcome::Lost) {
      mContext.mCrashProbe.OnConnectionLost(*mAttempt);
    }
  }
  if (aOutcome == RelayOutcome::NotRun) {
    mContext.mMetrics.Add("skylarkchute_endpoint_rejections_total",
                          "endpoint=\"" + mAttempt->mEndpoint.Value() + "\"");
  }
  mContext.mMetrics.Add("skylarkchute_attempts_total", "outcome=\"" + name + "\"");
  if (mWasSent || !MayHaveRun(aOutcome)) {
    mContext.mRouter.OnEnded(owner->Plan(), *mAttempt, aOutcome, Now());
  } else {
    // Nothing was sent, so that the request has not run: its plan does not count this attempt.
    auto plan = owner->Plan();
    mContext.mRouter.OnEnded(plan, *mAttempt, aOutcome, Now());
  }
  mContext.mWaiters.Schedule(mContext.mLoop, mContext.mRouter);
}

void HedgedAttempt::LogEnd(std::string_view aResult) const
{
  const auto age = std::chrono::duration_cast<milliseconds>(Now() - mSentAt);
  mContext.mLog.Write({ &kRequestHedged,
                        { { "request", mId },
                          { "first", mFirstEndpoint.Value() },
                          { "endpoint", mAttempt->mEndpoint.Value() },
                          { "result", std::string(aResult) },
                          { "delay_ms", std::to_string(mDelay.count()) },
                          { "age_ms", std::to_string(age.count()) } } });
}

} // namespace skylarkchute
