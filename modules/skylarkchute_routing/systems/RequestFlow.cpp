#include "RequestFlow.h"

#include "Refusals.h"

#include <algorithm>
#include <cassert>

namespace skylarkchute {

namespace {

constexpr std::chrono::milliseconds kShedPeriod{ 25 };
/** Delay before a request is checked again whose required endpoint is full. */
constexpr std::chrono::milliseconds kQuarantineRecheckDelay{ 50 };
/** Latency quantile of the class in the pool, above which an attempt is hedged. */
constexpr double kHedgeQuantile = 0.95;

} // namespace

RequestFlow::RequestFlow(RouterTables& aTables,
                         EvidenceSystem& aEvidence,
                         HealthSystem& aHealth,
                         CascadeSystem& aCascades,
                         LimitSystem& aLimits,
                         PoolSystem& aPools)
  : mTables(aTables)
  , mEvidence(aEvidence)
  , mCascades(aCascades)
  , mLimits(aLimits)
  , mPools(aPools)
  , mAdmission(aTables)
  , mVersions(aTables, aPools, aHealth, aCascades)
  , mEndpoints(aTables)
  , mQueues(aTables, aPools, mEndpoints)
  , mRetries(aTables)
  , mQuarantine(aTables)
  , mAttempts(aTables, aEvidence, mQuarantine)
{
}

void RequestFlow::Start(const RequestFacts& aFacts, TimePoint aNow, RouterSteps& aSteps)
{
  assert(mTables.mRequests.Find(aFacts.mId) == nullptr);
  RecheckWaiting(aNow, aSteps);
  ++mTables.mCounters.mStarted;
  RequestRow row;
  auto refusal = mAdmission.Admit(aFacts, aNow, row);
  if (!refusal) {
    refusal = mLimits.TryAcquire(row, aNow);
    mTables.mCounters.mRefusedByLimit += refusal ? 1 : 0;
  }
  if (refusal) {
    ++mTables.mCounters.mRefused;
    aSteps.push_back(*refusal);
    return;
  }
  ++mTables.mCounters.mAdmitted;
  Place(mTables.mRequests.Insert(std::move(row)), aNow, aSteps);
}

void RequestFlow::Withdraw(const RequestId& aRequest, const AttemptId& aAttempt, TimePoint aNow)
{
  auto* row = mTables.mRequests.Find(aRequest);
  if (row == nullptr || row->FindAttempt(aAttempt) == nullptr) {
    return;
  }
  mAttempts.Release(*row, aAttempt, aNow);
  if (row->mWorstVerdict == Verdict::NotRun) {
    mLimits.Refund(*row);
  }
  RemoveRequest(*row);
}

void RequestFlow::Repin(const RequestId& aRequest,
                        const VersionId& aVersion,
                        TimePoint aNow,
                        RouterSteps& aSteps)
{
  RecheckWaiting(aNow, aSteps);
  auto* row = mTables.mRequests.Find(aRequest);
  if (row == nullptr) {
    return;
  }
  mQueues.Remove(*row);
  while (!row->mLiveAttempts.empty()) {
    const auto attempt = row->mLiveAttempts.back().mId;
    mAttempts.Release(*row, attempt, aNow);
  }
  row->mPhase = RequestPhase::New;
  row->mTried.clear();
  row->mFacts.mPinnedVersion = aVersion;
  row->mSession = true;
  row->mVersion.reset();
  Place(*row, aNow, aSteps);
}

void RequestFlow::OnOutcome(const RequestId& aRequest,
                            const AttemptId& aAttempt,
                            const AttemptOutcome& aOutcome,
                            TimePoint aNow,
                            RouterSteps& aSteps)
{
  RecheckWaiting(aNow, aSteps);
  auto* row = mTables.mRequests.Find(aRequest);
  if (row == nullptr || row->FindAttempt(aAttempt) == nullptr) {
    return;
  }
  const bool wasHedge = row->FindAttempt(aAttempt)->mHedge;
  mAttempts.Close(*row, aAttempt, aOutcome, aNow);
  mLimits.Settle(*row, aOutcome);
  if (aOutcome.mEnd == AttemptEnd::Complete) {
    mTables.mCounters.mHedgesWon += wasHedge ? 1 : 0;
    OnResponse(*row, aAttempt, aOutcome, aNow, aSteps);
  } else if (aOutcome.mEnd == AttemptEnd::Rejected) {
    Finish(*row, row->mHeldAttempt ? *row->mHeldAttempt : aAttempt, aNow, aSteps);
  } else if (row->mLiveAttempts.empty()) {
    OnFailure(*row, aOutcome, aNow, aSteps);
  }
  DrainQueues(aNow, aSteps);
}

void RequestFlow::OnHeldRating(const RequestId& aRequest,
                               const AttemptId& aAttempt,
                               double aRating,
                               TimePoint aNow,
                               RouterSteps& aSteps)
{
  RecheckWaiting(aNow, aSteps);
  auto* row = mTables.mRequests.Find(aRequest);
  if (row == nullptr || row->mPhase != RequestPhase::Held || *row->mHeldAttempt != aAttempt) {
    return;
  }
  mEvidence.OnRating(*row->mVersion, row->mFacts.mClass, row->mTeam, aRating, aNow);
  ResolveHeldResponse(*row, aRating, aNow, aSteps);
}

void RequestFlow::OnCallerDisconnected(const RequestId& aRequest,
                                       TimePoint aNow,
                                       RouterSteps& aSteps)
{
  auto* row = mTables.mRequests.Find(aRequest);
  if (row == nullptr) {
    return;
  }
  mQueues.Remove(*row);
  CancelLive(*row, aNow, aSteps);
  RemoveRequest(*row);
  DrainQueues(aNow, aSteps);
}

bool RequestFlow::MayDispatch(const RequestId& aRequest, const AttemptId& aAttempt) const
{
  auto* row = mTables.mRequests.Find(aRequest);
  const auto* attempt = row == nullptr ? nullptr : row->FindAttempt(aAttempt);
  if (attempt == nullptr) {
    return false;
  }
  const auto* endpoint = mTables.mEndpoints.Find(attempt->mEndpoint);
  if (endpoint == nullptr || endpoint->IsLeaving()) {
    return false;
  }
  return !attempt->mVersion || mVersions.IsUsable(*row, *attempt->mVersion);
}

void RequestFlow::Tick(TimePoint aNow, RouterSteps& aSteps)
{
  RecheckWaiting(aNow, aSteps);
  CheckDeadlines(aNow, aSteps);
  for (const auto& it : mTables.mRequests.Ids()) {
    auto* row = mTables.mRequests.Find(it);
    if (row == nullptr) {
      continue;
    }
    if (row->mPhase == RequestPhase::Delayed && row->mNotBefore <= aNow) {
      Place(*row, aNow, aSteps);
    } else if (row->mPhase == RequestPhase::Held && row->mHeldUntil <= aNow) {
      ResolveHeldResponse(*row, std::nullopt, aNow, aSteps);
    }
  }
  DrainQueues(aNow, aSteps);
  StartHedges(aNow, aSteps);
  if (aNow < mNextShed) {
    return;
  }
  mNextShed = aNow + kShedPeriod;
  for (auto& it : mQueues.Shed(aNow)) {
    ++mTables.mCounters.mShed;
    Refuse(*mTables.mRequests.Find(it.mRequest), it, aNow, aSteps);
  }
}

void RequestFlow::RecheckWaiting(TimePoint aNow, RouterSteps& aSteps)
{
  if (!mTables.mWaitingChanged) {
    return;
  }
  mTables.mWaitingChanged = false;
  for (const auto& it : mTables.mRequests.Ids()) {
    auto* row = mTables.mRequests.Find(it);
    if (row == nullptr || row->mPhase == RequestPhase::Held) {
      continue;
    }
    if (mQuarantine.ShouldCancelAndRetry(*row)) {
      CancelAndRetry(*row, aNow, aSteps);
      continue;
    }
    if (!row->mLiveAttempts.empty()) {
      continue;
    }
    const bool usable = !row->mVersion || mVersions.IsUsable(*row, *row->mVersion);
    if (usable && !mQuarantine.IsQuarantined(row->mFacts.mFingerprint, aNow)) {
      continue;
    }
    mQueues.Remove(*row);
    row->mPhase = RequestPhase::New;
    Place(*row, aNow, aSteps);
  }
}

void RequestFlow::CancelAndRetry(RequestRow& aRow, TimePoint aNow, RouterSteps& aSteps)
{
  CancelLive(aRow, aNow, aSteps);
  aRow.mWorstVerdict = WorseVerdict(aRow.mWorstVerdict, Verdict::MayHaveRun);
  aRow.mRetryPending = true;
  aRow.mPhase = RequestPhase::New;
  Place(aRow, aNow, aSteps);
}

void RequestFlow::Place(RequestRow& aRow, TimePoint aNow, RouterSteps& aSteps)
{
  assert(aRow.mLiveAttempts.empty());
  const auto id = aRow.mFacts.mId;
  if (!ChooseVersion(aRow, aNow, aSteps)) {
    return;
  }
  if (!ApplyQuarantine(aRow, aNow, aSteps)) {
    return;
  }
  if (aRow.mAttempts == 0) {
    mTables.mPools.Get(aRow.mPool).mArrivals[aRow.mPriority].Add(1, aNow);
  }
  mQueues.Enqueue(aRow, aNow);
  DrainQueues(aNow, aSteps);
  auto* row = mTables.mRequests.Find(id);
  if (row == nullptr || row->mPhase != RequestPhase::Queued) {
    return;
  }
  if (const auto refusal = mQueues.CheckWait(*row, aNow)) {
    ++mTables.mCounters.mShed;
    Refuse(*row, *refusal, aNow, aSteps);
    return;
  }
  aSteps.push_back(WaitStep{ id });
}

bool RequestFlow::ChooseVersion(RequestRow& aRow, TimePoint aNow, RouterSteps& aSteps)
{
  if (aRow.mFacts.mService) {
    aRow.mPool = *aRow.mFacts.mService;
    return true;
  }
  if (aRow.mVersion && mVersions.IsUsable(aRow, *aRow.mVersion)) {
    aRow.mPool = *aRow.mVersion;
    return true;
  }
  auto decision = mVersions.Choose(aRow, aNow);
  if (auto* refusal = std::get_if<RefuseStep>(&decision)) {
    const bool withdrawn = refusal->mReason == refusal::kVersionWithdrawn;
    mTables.mCounters.mVersionWithdrawn += withdrawn ? 1 : 0;
    Refuse(aRow, *refusal, aNow, aSteps);
    return false;
  }
  aRow.mVersion = std::get<VersionId>(decision);
  aRow.mPool = *aRow.mVersion;
  return true;
}

EndpointRow* RequestFlow::EndpointForDecision(const QuarantineDecision& aDecision, TimePoint aNow)
{
  if (const auto* trial = std::get_if<TryOnEndpoint>(&aDecision)) {
    return mTables.mEndpoints.Find(trial->mEndpoint);
  }
  const auto* only = std::get_if<RequireEndpoint>(&aDecision);
  auto* endpoint = only == nullptr ? nullptr : mTables.mEndpoints.Find(only->mEndpoint);
  const bool canTake =
    endpoint != nullptr && endpoint->CanAcceptAttempt(aNow, mTables.mOptions.mDefaultSlots);
  return canTake ? endpoint : nullptr;
}

bool RequestFlow::ApplyQuarantine(RequestRow& aRow, TimePoint aNow, RouterSteps& aSteps)
{
  const auto decision = mQuarantine.Check(aRow, mPools.RefreshPool(aRow.mPool), aNow);
  if (std::holds_alternative<UseAnyEndpoint>(decision)) {
    return true;
  }
  if (std::holds_alternative<RefuseRequest>(decision)) {
    ++mTables.mCounters.mQuarantined;
    Refuse(aRow, QuarantineRefusal(aRow.mFacts.mId), aNow, aSteps);
    return false;
  }
  auto until = aNow + kQuarantineRecheckDelay;
  if (const auto* wait = std::get_if<DelayUntil>(&decision)) {
    until = wait->mUntil;
  }
  if (auto* endpoint = EndpointForDecision(decision, aNow)) {
    Send(aRow, *endpoint, aNow, aSteps);
    return false;
  }
  const bool isNew = aRow.mPhase != RequestPhase::Delayed;
  aRow.mPhase = RequestPhase::Delayed;
  aRow.mNotBefore = until;
  if (isNew) {
    aSteps.push_back(WaitStep{ aRow.mFacts.mId });
  }
  return false;
}

void RequestFlow::DrainQueues(TimePoint aNow, RouterSteps& aSteps)
{
  mQueues.Drain(aNow, [&](RequestRow& aRow, EndpointRow& aEndpoint) {
    if (ApplyQuarantine(aRow, aNow, aSteps)) {
      Send(aRow, aEndpoint, aNow, aSteps);
    }
  });
}

void RequestFlow::Send(RequestRow& aRow,
                       EndpointRow& aEndpoint,
                       TimePoint aNow,
                       RouterSteps& aSteps)
{
  assert(!aRow.mNonIdempotent || aRow.mWorstVerdict == Verdict::NotRun);
  assert(!aRow.mVersion || mVersions.IsUsable(aRow, *aRow.mVersion));
  auto kind = AttemptKind::First;
  if (aRow.mAttempts == 0) {
    mRetries.OnFirstAttempt(aRow);
  } else if (aRow.mRetryPending) {
    kind = AttemptKind::Retry;
  } else if (aRow.mEscalationPending) {
    kind = AttemptKind::Escalation;
  }
  aRow.mRetryPending = false;
  aRow.mEscalationPending = false;
  if (aRow.mFacts.mStartsSession && aRow.mVersion) {
    aRow.mFacts.mPinnedVersion = aRow.mVersion;
    aRow.mSession = true;
  }
  aSteps.push_back(mAttempts.Open(aRow, aEndpoint, kind, aNow));
}

void RequestFlow::OnResponse(RequestRow& aRow,
                             const AttemptId& aAttempt,
                             const AttemptOutcome& aOutcome,
                             TimePoint aNow,
                             RouterSteps& aSteps)
{
  const bool hold = aRow.mHold && !aOutcome.mCallerSawBytes;
  if (aRow.mVersion && (hold || mCascades.ShouldRequestRating(aRow, *aRow.mVersion))) {
    mTables.mReports.mRatingCandidates.push_back(
      { aRow.mFacts.mId, aAttempt, *aRow.mVersion, hold });
  }
  if (!hold) {
    Finish(aRow, aAttempt, aNow, aSteps);
    return;
  }
  CancelLive(aRow, aNow, aSteps);
  aRow.mHold = false;
  aRow.mHeldAttempt = aAttempt;
  aRow.mHeldUntil = std::min(aNow + mTables.mOptions.mRatingWait, aRow.mFacts.mDeadline);
  aRow.mPhase = RequestPhase::Held;
  aSteps.push_back(WaitStep{ aRow.mFacts.mId });
}

void RequestFlow::ResolveHeldResponse(RequestRow& aRow,
                                      std::optional<double> aRating,
                                      TimePoint aNow,
                                      RouterSteps& aSteps)
{
  const auto models = mVersions.CascadeModels(aRow, aNow);
  const auto* team = mTables.mBundle->FindTeam(aRow.mTeam);
  std::optional<CascadeChoice> choice;
  if (team != nullptr && !models.empty()) {
    choice = mCascades.ChooseEscalation(aRow, models, aRating, aNow);
  }
  std::optional<VersionId> version;
  if (choice) {
    version = mVersions.ChooseForModel(*team, choice->mModel, aNow);
  }
  if (!version) {
    Finish(aRow, *aRow.mHeldAttempt, aNow, aSteps);
    return;
  }
  aRow.mHold = choice->mHoldForRating;
  aRow.mVersion = version;
  aRow.mEscalationPending = true;
  aRow.mHedgeUsed = false;
  aRow.mPhase = RequestPhase::New;
  aRow.mTried.clear();
  Place(aRow, aNow, aSteps);
}

void RequestFlow::OnFailure(RequestRow& aRow,
                            const AttemptOutcome& aOutcome,
                            TimePoint aNow,
                            RouterSteps& aSteps)
{
  const auto expected = mQueues.ExpectedService(aRow, aNow);
  const auto at = mRetries.RetryAt(aRow, aOutcome, expected, aNow);
  if (!at) {
    Refuse(aRow, RefusalFor(aRow, aOutcome.mEnd, aNow), aNow, aSteps);
    return;
  }
  ++aRow.mRetries;
  aRow.mRetryPending = true;
  aRow.mPhase = RequestPhase::Delayed;
  aRow.mNotBefore = *at;
  aSteps.push_back(WaitStep{ aRow.mFacts.mId });
}

void RequestFlow::Finish(RequestRow& aRow, AttemptId aAttempt, TimePoint aNow, RouterSteps& aSteps)
{
  ++mTables.mCounters.mFinished;
  CancelLive(aRow, aNow, aSteps);
  aSteps.push_back(FinishStep{ aRow.mFacts.mId, std::move(aAttempt), aRow.mWorstVerdict });
  RemoveRequest(aRow);
}

void RequestFlow::CancelLive(RequestRow& aRow, TimePoint aNow, RouterSteps& aSteps)
{
  while (!aRow.mLiveAttempts.empty()) {
    const auto attempt = aRow.mLiveAttempts.back().mId;
    mAttempts.Release(aRow, attempt, aNow);
    aSteps.push_back(CancelStep{ aRow.mFacts.mId, attempt });
  }
}

void RequestFlow::Refuse(RequestRow& aRow, RefuseStep aStep, TimePoint aNow, RouterSteps& aSteps)
{
  mQueues.Remove(aRow);
  if (aRow.mHeldAttempt) {
    Finish(aRow, *aRow.mHeldAttempt, aNow, aSteps);
    return;
  }
  aStep.mVerdict = WorseVerdict(aStep.mVerdict, aRow.mWorstVerdict);
  if (aStep.mVerdict == Verdict::NotRun) {
    mLimits.Refund(aRow);
  }
  ++mTables.mCounters.mRefused;
  aSteps.push_back(std::move(aStep));
  RemoveRequest(aRow);
}

void RequestFlow::RemoveRequest(RequestRow& aRow)
{
  assert(aRow.mLiveAttempts.empty());
  mLimits.ReleaseConcurrency(aRow);
  mTables.mRequests.Erase(RequestId(aRow.mFacts.mId));
}

void RequestFlow::CheckDeadlines(TimePoint aNow, RouterSteps& aSteps)
{
  for (const auto& it : mTables.mRequests.Ids()) {
    auto& row = *mTables.mRequests.Find(it);
    if (aNow < row.mFacts.mDeadline) {
      continue;
    }
    if (row.mPhase == RequestPhase::Delayed) {
      Refuse(row, RefusalFor(row, AttemptEnd::TimedOut, aNow), aNow, aSteps);
      continue;
    }
    if (row.mPhase != RequestPhase::Running) {
      continue;
    }
    AttemptOutcome outcome;
    outcome.mEnd = AttemptEnd::TimedOut;
    outcome.mVerdict = Verdict::MayHaveRun;
    while (!row.mLiveAttempts.empty()) {
      const auto attempt = row.mLiveAttempts.back().mId;
      mAttempts.Close(row, attempt, outcome, aNow);
      aSteps.push_back(CancelStep{ it, attempt });
    }
    ++mTables.mCounters.mDeadlinesMissed;
    Refuse(row, RefusalFor(row, outcome.mEnd, aNow), aNow, aSteps);
  }
}

void RequestFlow::StartHedges(TimePoint aNow, RouterSteps& aSteps)
{
  for (const auto& it : mTables.mRequests.Ids()) {
    auto& row = *mTables.mRequests.Find(it);
    if (!row.mHedged || row.mHedgeUsed || row.mLiveAttempts.size() != 1) {
      continue;
    }
    auto& pool = mPools.RefreshPool(row.mPool);
    const auto threshold = pool.mLatency[row.mFacts.mClass].Quantile(kHedgeQuantile);
    const auto age = aNow - row.mLiveAttempts.front().mStarted;
    if (threshold.count() == 0 || age < threshold || row.mLiveAttempts.front().mFirstTokenSeen) {
      continue;
    }
    if (row.mVersion && !mVersions.IsUsable(row, *row.mVersion)) {
      continue;
    }
    if (mQuarantine.IsSuspect(row.mFacts.mFingerprint)) {
      continue;
    }
    auto* endpoint = mEndpoints.ChooseUntried(row, pool, aNow);
    if (endpoint == nullptr || !mRetries.TakeHedgeBudget(row)) {
      continue;
    }
    row.mHedgeUsed = true;
    aSteps.push_back(mAttempts.Open(row, *endpoint, AttemptKind::Hedge, aNow));
  }
}

RefuseStep RequestFlow::RefusalFor(const RequestRow& aRow, AttemptEnd aEnd, TimePoint aNow)
{
  auto step = FailureRefusal(aRow.mFacts.mId, aEnd, aRow.mWorstVerdict);
  if (step.mVerdict == Verdict::NotRun) {
    step.mRetryAfter = mQueues.RetryAfter(aRow.mPool, aNow);
  }
  return step;
}

} // namespace skylarkchute
