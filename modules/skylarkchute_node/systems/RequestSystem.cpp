#include "RequestSystem.h"

#include "../events/NodeEvents.h"
#include "../requests/Refusals.h"
#include "LedgerSystem.h"
#include "PermitSystem.h"

#include <algorithm>

namespace skylarkchute {

namespace {

constexpr double kTokensPerPriceUnit = 1000;

/** Overload set that dispatches router steps to the methods of a RequestSystem. */
template<typename... Handlers>
struct StepVisitor : Handlers...
{
  using Handlers::operator()...;
};

template<typename... Handlers>
StepVisitor(Handlers...) -> StepVisitor<Handlers...>;

} // namespace

RequestSystem::RequestSystem(NodeParts& aParts, LedgerSystem& aLedger, PermitSystem& aPermits)
  : mParts(aParts)
  , mLedger(aLedger)
  , mPermits(aPermits)
{
}

void RequestSystem::Start(NodeRequest aRequest, EventContext& aContext)
{
  const auto& request = aRequest.mFacts.mId;
  if (!mParts.mFollower.Current()) {
    aContext.Add(RefuseAction{ RefusalForNoBundle(request) });
    return;
  }
  if (mParts.mLeaving) {
    aContext.Add(RefuseAction{ RefusalForLeaving(request) });
    return;
  }
  if (!mParts.mUsage.HasRoom()) {
    aContext.Add(RefuseAction{ RefusalForLedgerFull(request) });
    return;
  }
  if (mParts.mFollower.NeedsConfirmation(aContext.Now())) {
    const auto confirmationDeadline =
      std::min(aRequest.mFacts.mDeadline, aContext.Now() + mParts.mOptions.mConfirmationWait);
    mParts.mUnconfirmed.push_back({ std::move(aRequest), confirmationDeadline });
    return;
  }
  Admit(std::move(aRequest), aContext);
}

void RequestSystem::Admit(NodeRequest aRequest, EventContext& aContext)
{
  const auto id = aRequest.mFacts.mId;
  const auto* team = mParts.mRouter.Authenticate(aRequest.mFacts.mApiKey);
  auto& record = mParts.mRequests[id];
  record.mRequest = std::move(aRequest);
  if (team != nullptr) {
    record.mTeam = team->mName;
    if (!BindSession(record, aContext)) {
      return;
    }
  }
  const auto& facts = record.mRequest.mFacts;
  if (mParts.mRouter.IsNonIdempotent(facts)) {
    if (!facts.mHasCallerKey) {
      Refuse(RefusalForMissingKey(id), aContext);
      return;
    }
    record.mPermit = RunPermit::Needed;
  }
  if (const auto* requestClass = mParts.mFollower.Current()->FindClass(facts.mClass)) {
    record.mPriority = requestClass->mPriority;
  }
  ApplySteps(mParts.mRouter.Start(facts, aContext.Now()), aContext);
}

bool RequestSystem::BindSession(RequestRecord& aRecord, EventContext& aContext)
{
  const auto& text = aRecord.mRequest.mSessionText;
  auto& facts = aRecord.mRequest.mFacts;
  if (text.empty() || facts.mService) {
    return true;
  }
  auto fault = TokenFault::NotAToken;
  const auto token = boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<std::optional<SessionToken>> {
      BOOST_LEAF_AUTO(checked, mParts.mTokens.Check(text, aRecord.mTeam, aContext.Wall()));
      return std::optional<SessionToken>(checked);
    },
    [&](TokenFault aFault) {
      fault = aFault;
      return std::optional<SessionToken>();
    },
    [] { return std::optional<SessionToken>(); });
  if (token) {
    facts.mPinnedVersion = token->mVersion;
    return true;
  }
  if (fault != TokenFault::NotAToken) {
    Refuse(RefusalForToken(facts.mId, fault), aContext);
    return false;
  }
  const SessionId session(text);
  facts.mPinnedVersion = mParts.mPins.Find(aRecord.mTeam, session, aContext.Wall());
  if (!facts.mPinnedVersion) {
    facts.mStartsSession = true;
    aRecord.mSessionToPin = session;
  }
  return true;
}

void RequestSystem::OnCallerDisconnected(const RequestId& aRequest, EventContext& aContext)
{
  const auto waiting = std::remove_if(
    mParts.mUnconfirmed.begin(), mParts.mUnconfirmed.end(), [&](const UnconfirmedRequest& aEntry) {
      return aEntry.mRequest.mFacts.mId == aRequest;
    });
  mParts.mUnconfirmed.erase(waiting, mParts.mUnconfirmed.end());
  auto* record = Find(aRequest);
  if (record == nullptr || record->mCallerLeft || record->mFinishingAttempt) {
    return;
  }
  record->mCallerLeft = true;
  if (record->mPermit == RunPermit::Dispatched) {
    return;
  }
  WithdrawPending(*record, aContext);
  ApplySteps(mParts.mRouter.OnCallerDisconnected(aRequest, aContext.Now()), aContext);
  record = Find(aRequest);
  if (record == nullptr) {
    return;
  }
  const bool ran = !record->mVersions.empty() || record->mDispatched;
  mPermits.ReportEnd(*record, { 0, Verdict::NotRun, "", "", false }, aContext);
  if (ran) {
    RecordUsage(*record, record->mLastModel, Verdict::MayHaveRun, aContext);
  }
  mParts.mRequests.erase(aRequest);
}

void RequestSystem::AttemptEnded(const RequestId& aRequest,
                                 const AttemptId& aAttempt,
                                 const AttemptOutcome& aOutcome,
                                 AnswerContent aContent,
                                 EventContext& aContext)
{
  if (auto* record = Find(aRequest)) {
    record->mOutcomes[aAttempt] = aOutcome;
    record->mLastContent = std::move(aContent);
  }
  ApplySteps(mParts.mRouter.ReportOutcome(aRequest, aAttempt, aOutcome, aContext.Now()), aContext);
}

void RequestSystem::ApplySteps(const RouterSteps& aSteps, EventContext& aContext)
{
  const StepVisitor visitor{
    [&](const RefuseStep& aStep) { Refuse(aStep, aContext); },
    [&](const WaitStep&) {},
    [&](const DispatchStep& aStep) { Dispatch(aStep, aContext); },
    [&](const CancelStep& aStep) {
      aContext.Add(CancelAction{ aStep.mRequest, aStep.mAttempt });
    },
    [&](const FinishStep& aStep) { Finish(aStep, aContext); },
  };
  for (const auto& it : aSteps) {
    std::visit(visitor, it);
  }
}

void RequestSystem::Dispatch(const DispatchStep& aStep, EventContext& aContext)
{
  auto* record = Find(aStep.mRequest);
  if (record == nullptr) {
    mParts.mRouter.WithdrawAttempt(aStep.mRequest, aStep.mAttempt, aContext.Now());
    return;
  }
  record->mPendingStep = aStep;
  const auto& service = record->mRequest.mFacts.mService;
  record->mLastModel =
    aStep.mVersion ? aStep.mVersion->Value() : service.value_or(ServiceName()).Value();
  if (record->mSessionToPin && aStep.mVersion) {
    RequestPin(*record, aContext);
  } else if (record->mPermit == RunPermit::Needed) {
    mPermits.RequestPermit(*record, aContext);
  } else {
    SendDispatch(*record, aStep, aContext);
  }
}

void RequestSystem::RequestPin(RequestRecord& aRecord, EventContext& aContext)
{
  const auto expires = aContext.Wall() + mParts.mFollower.Current()->mRetention.mPins;
  mLedger.ApplyOutput(mParts.mPins.Pin(aRecord.mRequest.mFacts.mId,
                                       aRecord.mTeam,
                                       *aRecord.mSessionToPin,
                                       *aRecord.mPendingStep->mVersion,
                                       aContext.Wall(),
                                       expires),
                      aContext);
}

void RequestSystem::OnPinAnswer(const PinAnswer& aAnswer, EventContext& aContext)
{
  auto* record = Find(aAnswer.mRequest);
  if (record == nullptr || !record->mPendingStep) {
    return;
  }
  if (aAnswer.mResult == PinResult::StoreDown) {
    RefusePending(RefusalForPinStore(aAnswer.mRequest), aContext);
    return;
  }
  record->mSessionToPin.reset();
  const auto step = *record->mPendingStep;
  if (step.mVersion == aAnswer.mVersion) {
    Dispatch(step, aContext);
    return;
  }
  record->mPendingStep.reset();
  ApplySteps(mParts.mRouter.Repin(aAnswer.mRequest, aAnswer.mVersion, aContext.Now()), aContext);
}

void RequestSystem::OnClaimAnswer(const ClaimAnswer& aAnswer, EventContext& aContext)
{
  if (aAnswer.mResult == ClaimResult::Granted) {
    OnPermitGranted(aAnswer.mRequest, aContext);
  } else if (aAnswer.mResult == ClaimResult::Finished && aAnswer.mOutcome) {
    OnAlreadyFinished(aAnswer.mRequest, *aAnswer.mOutcome, aContext);
  } else {
    OnPermitRefused(RefusalForClaim(aAnswer), aContext);
  }
}

void RequestSystem::OnPermitGranted(const RequestId& aRequest, EventContext& aContext)
{
  auto* record = Find(aRequest);
  if (record == nullptr || record->mPermit != RunPermit::Requested) {
    return;
  }
  record->mPermit = RunPermit::Granted;
  if (record->mPendingStep) {
    const auto step = *record->mPendingStep;
    SendDispatch(*record, step, aContext);
  }
}

void RequestSystem::OnAlreadyFinished(const RequestId& aRequest,
                                      const ClaimOutcome& aOutcome,
                                      EventContext& aContext)
{
  auto* record = Find(aRequest);
  if (record == nullptr) {
    return;
  }
  record->mPermit = RunPermit::NotNeeded;
  WithdrawPending(*record, aContext);
  if (aOutcome.mVerdict == Verdict::Ran && !aOutcome.mBodyDropped) {
    aContext.Add(
      ReplayAction{ aRequest, aOutcome.mHttpStatus, aOutcome.mContentType, aOutcome.mBody });
  } else {
    aContext.Add(RefuseAction{ RefusalForStoredOutcome(aRequest, aOutcome) });
  }
  mParts.mRequests.erase(aRequest);
}

void RequestSystem::OnPermitRefused(const RefuseStep& aRefusal, EventContext& aContext)
{
  auto* record = Find(aRefusal.mRequest);
  if (record == nullptr) {
    return;
  }
  if (record->mHasTicket) {
    mPermits.ReportEnd(*record, { 0, Verdict::NotRun, "", "", false }, aContext);
  }
  record->mPermit = RunPermit::NotNeeded;
  RefusePending(aRefusal, aContext);
}

void RequestSystem::SendDispatch(RequestRecord& aRecord,
                                 const DispatchStep& aStep,
                                 EventContext& aContext)
{
  const auto& facts = aRecord.mRequest.mFacts;
  if (!mParts.mRouter.MayDispatch(aStep.mRequest, aStep.mAttempt)) {
    RefusePending(RefusalForOutdatedStep(facts.mId), aContext);
    return;
  }
  if (!mPermits.UsePermit(aRecord)) {
    RefusePending(RefusalForUsedPermit(facts.mId), aContext);
    return;
  }
  aRecord.mPendingStep.reset();
  aRecord.mDispatched = true;
  if (aStep.mVersion) {
    aRecord.mVersions[aStep.mAttempt] = *aStep.mVersion;
  }
  aContext.Add(DispatchAction{
    aStep, aRecord.mPriority, facts.mKey, SessionTokenFor(aRecord, aStep, aContext.Wall()) });
}

void RequestSystem::Refuse(const RefuseStep& aRefusal, EventContext& aContext)
{
  aContext.Add(RefuseAction{ aRefusal });
  auto* record = Find(aRefusal.mRequest);
  if (record == nullptr) {
    return;
  }
  mPermits.ReportEnd(
    *record,
    { aRefusal.mHttpStatus, aRefusal.mVerdict, "application/problem+json", "", false },
    aContext);
  if (aRefusal.mVerdict != Verdict::NotRun) {
    RecordUsage(*record, record->mLastModel, aRefusal.mVerdict, aContext);
  }
  mParts.mRequests.erase(aRefusal.mRequest);
}

void RequestSystem::RefusePending(const RefuseStep& aRefusal, EventContext& aContext)
{
  auto refusal = aRefusal;
  if (auto* record = Find(aRefusal.mRequest)) {
    WithdrawPending(*record, aContext);
    for (const auto& [attempt, outcome] : record->mOutcomes) {
      refusal.mVerdict = WorseVerdict(refusal.mVerdict, outcome.mVerdict);
    }
  }
  Refuse(refusal, aContext);
}

void RequestSystem::Finish(const FinishStep& aStep, EventContext& aContext)
{
  auto* record = Find(aStep.mRequest);
  if (record == nullptr) {
    return;
  }
  const auto version = record->mVersions.find(aStep.mAttempt);
  const auto model =
    version == record->mVersions.end() ? record->mLastModel : version->second.Value();
  const auto& content = record->mLastContent;
  mPermits.ReportEnd(
    *record,
    { content.mHttpStatus, aStep.mVerdict, content.mContentType, content.mBody, false },
    aContext);
  record->mFinishingAttempt = aStep.mAttempt;
  RecordUsage(*record, model, aStep.mVerdict, aContext);
}

void RequestSystem::OnUsageReleased(const RequestId& aRequest, EventContext& aContext)
{
  auto* record = Find(aRequest);
  if (record == nullptr || !record->mFinishingAttempt) {
    return;
  }
  aContext.Add(FinishAction{ aRequest, *record->mFinishingAttempt });
  mParts.mRequests.erase(aRequest);
}

void RequestSystem::Tick(EventContext& aContext)
{
  ApplySteps(mParts.mRouter.Tick(aContext.Now()), aContext);
  if (mParts.mUnconfirmed.empty()) {
    return;
  }
  const bool confirmed = !mParts.mFollower.NeedsConfirmation(aContext.Now());
  auto waiting = std::move(mParts.mUnconfirmed);
  mParts.mUnconfirmed.clear();
  for (auto& it : waiting) {
    if (confirmed) {
      Admit(std::move(it.mRequest), aContext);
    } else if (aContext.Now() >= it.mConfirmationDeadline) {
      aContext.AddEvents({ { &kGenerationUnconfirmed, {} } });
      aContext.Add(RefuseAction{ RefusalForUnconfirmed(it.mRequest.mFacts.mId) });
    } else {
      mParts.mUnconfirmed.push_back(std::move(it));
    }
  }
}

void RequestSystem::WithdrawPending(RequestRecord& aRecord, EventContext& aContext)
{
  if (!aRecord.mPendingStep) {
    return;
  }
  const auto step = *aRecord.mPendingStep;
  aRecord.mPendingStep.reset();
  mParts.mRouter.WithdrawAttempt(step.mRequest, step.mAttempt, aContext.Now());
}

void RequestSystem::RecordUsage(const RequestRecord& aRecord,
                                const std::string& aModel,
                                Verdict aVerdict,
                                EventContext& aContext)
{
  UsageRecord usage;
  const auto& facts = aRecord.mRequest.mFacts;
  usage.mTeam = aRecord.mTeam;
  usage.mKey = facts.mKey;
  usage.mRequest = facts.mId;
  usage.mModel = aModel;
  usage.mVerdict = aVerdict;
  usage.mAt = aContext.Wall();
  if (aRecord.mFinishingAttempt) {
    AddTokens(aRecord, *aRecord.mFinishingAttempt, usage);
  }
  mLedger.ApplyOutput(mParts.mUsage.Record(usage, aContext.Now()), aContext);
}

void RequestSystem::AddTokens(const RequestRecord& aRecord,
                              const AttemptId& aAttempt,
                              UsageRecord& aUsage) const
{
  const auto outcome = aRecord.mOutcomes.find(aAttempt);
  const auto version = aRecord.mVersions.find(aAttempt);
  if (outcome == aRecord.mOutcomes.end() || version == aRecord.mVersions.end()) {
    return;
  }
  aUsage.mPromptTokens = outcome->second.mPromptTokens;
  aUsage.mCompletionTokens = outcome->second.mCompletionTokens;
  const auto& bundle = *mParts.mFollower.Current();
  const auto* entry = bundle.FindVersion(version->second);
  const auto* model = entry == nullptr ? nullptr : bundle.FindModel(entry->mModel);
  if (model != nullptr) {
    const double tokens = aUsage.mPromptTokens + aUsage.mCompletionTokens;
    aUsage.mPrice = tokens / kTokensPerPriceUnit * model->mPricePerThousandTokens;
  }
}

std::string RequestSystem::SessionTokenFor(const RequestRecord& aRecord,
                                           const DispatchStep& aStep,
                                           WallTime aWall)
{
  const auto& sent = aRecord.mRequest.mSessionText;
  if (!aStep.mVersion || !sent.empty() || !mParts.mTokens.CanIssue()) {
    return sent;
  }
  SessionToken token;
  token.mTeam = aRecord.mTeam;
  token.mSession = SessionId(aStep.mRequest.Value());
  token.mVersion = *aStep.mVersion;
  token.mExpires = aWall + mParts.mOptions.mSessionLifetime;
  return mParts.mTokens.Issue(token);
}

RequestRecord* RequestSystem::Find(const RequestId& aRequest)
{
  const auto it = mParts.mRequests.find(aRequest);
  return it == mParts.mRequests.end() ? nullptr : &it->second;
}

} // namespace skylarkchute
