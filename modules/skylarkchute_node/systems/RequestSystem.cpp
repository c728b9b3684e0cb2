#include "RequestSystem.h"

#include "../events/NodeEvents.h"
#include "../requests/Refusals.h"
#include "LedgerSystem.h"
#include "RightSystem.h"

#include <algorithm>

namespace skylarkchute {

namespace {

constexpr double kTokensPerPriceUnit = 1000;

/** Sorts router steps to the methods of a RequestSystem. */
template<typename... Handlers>
struct StepVisitor : Handlers...
{
  using Handlers::operator()...;
};

template<typename... Handlers>
StepVisitor(Handlers...) -> StepVisitor<Handlers...>;

} // namespace

RequestSystem::RequestSystem(NodeParts& aParts, LedgerSystem& aLedger, RightSystem& aRights)
  : mParts(aParts)
  , mLedger(aLedger)
  , mRights(aRights)
{
}

void RequestSystem::Start(NodeRequest aRequest, NodePass& aPass)
{
  const auto& request = aRequest.mFacts.mId;
  if (!mParts.mFollower.Current()) {
    aPass.Add(RefuseAction{ RefusalForNoBundle(request) });
    return;
  }
  if (mParts.mLeaving) {
    aPass.Add(RefuseAction{ RefusalForLeaving(request) });
    return;
  }
  if (!mParts.mUsage.HasRoom()) {
    aPass.Add(RefuseAction{ RefusalForLedgerFull(request) });
    return;
  }
  if (mParts.mFollower.NeedsConfirmation(aPass.Now())) {
    const auto giveUp =
      std::min(aRequest.mFacts.mDeadline, aPass.Now() + mParts.mOptions.mConfirmationWait);
    mParts.mUnconfirmed.push_back({ std::move(aRequest), giveUp });
    return;
  }
  Admit(std::move(aRequest), aPass);
}

void RequestSystem::Admit(NodeRequest aRequest, NodePass& aPass)
{
  const auto id = aRequest.mFacts.mId;
  const auto* team = mParts.mRouter.Authenticate(aRequest.mFacts.mApiKey);
  auto& record = mParts.mRequests[id];
  record.mRequest = std::move(aRequest);
  if (team != nullptr) {
    record.mTeam = team->mName;
    if (!BindSession(record, aPass)) {
      return;
    }
  }
  const auto& facts = record.mRequest.mFacts;
  if (mParts.mRouter.IsNonIdempotent(facts)) {
    if (!facts.mHasCallerKey) {
      Refuse(RefusalForMissingKey(id), aPass);
      return;
    }
    record.mRight = RunRight::Needed;
  }
  if (const auto* requestClass = mParts.mFollower.Current()->FindClass(facts.mClass)) {
    record.mPriority = requestClass->mPriority;
  }
  TakeSteps(mParts.mRouter.Start(facts, aPass.Now()), aPass);
}

bool RequestSystem::BindSession(RequestRecord& aRecord, NodePass& aPass)
{
  const auto& text = aRecord.mRequest.mSessionText;
  auto& facts = aRecord.mRequest.mFacts;
  if (text.empty() || facts.mService) {
    return true;
  }
  auto fault = TokenFault::NotAToken;
  const auto token = boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<std::optional<SessionToken>> {
      BOOST_LEAF_AUTO(checked, mParts.mTokens.Check(text, aRecord.mTeam, aPass.Wall()));
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
    Refuse(RefusalForToken(facts.mId, fault), aPass);
    return false;
  }
  const SessionId session(text);
  facts.mPinnedVersion = mParts.mPins.Find(aRecord.mTeam, session, aPass.Wall());
  if (!facts.mPinnedVersion) {
    facts.mStartsSession = true;
    aRecord.mSessionToPin = session;
  }
  return true;
}

void RequestSystem::CallerLeft(const RequestId& aRequest, NodePass& aPass)
{
  const auto waiting = std::remove_if(
    mParts.mUnconfirmed.begin(), mParts.mUnconfirmed.end(), [&](const UnconfirmedRequest& aEntry) {
      return aEntry.mRequest.mFacts.mId == aRequest;
    });
  mParts.mUnconfirmed.erase(waiting, mParts.mUnconfirmed.end());
  auto* record = Find(aRequest);
  if (record == nullptr || record->mCallerLeft || record->mFinishing) {
    return;
  }
  record->mCallerLeft = true;
  if (record->mRight == RunRight::Dispatched) {
    return;
  }
  DropHeld(*record, aPass);
  TakeSteps(mParts.mRouter.CallerLeft(aRequest, aPass.Now()), aPass);
  record = Find(aRequest);
  if (record == nullptr) {
    return;
  }
  const bool ran = !record->mVersions.empty() || record->mDispatched;
  mRights.End(*record, { 0, Verdict::NotRun, "", "", false }, aPass);
  if (ran) {
    RecordUsage(*record, record->mLastModel, Verdict::MayHaveRun, aPass);
  }
  mParts.mRequests.erase(aRequest);
}

void RequestSystem::AttemptEnded(const RequestId& aRequest,
                                 const AttemptId& aAttempt,
                                 const AttemptOutcome& aOutcome,
                                 AnswerContent aContent,
                                 NodePass& aPass)
{
  if (auto* record = Find(aRequest)) {
    record->mOutcomes[aAttempt] = aOutcome;
    record->mLastContent = std::move(aContent);
  }
  TakeSteps(mParts.mRouter.ReportOutcome(aRequest, aAttempt, aOutcome, aPass.Now()), aPass);
}

void RequestSystem::TakeSteps(const RouterSteps& aSteps, NodePass& aPass)
{
  const StepVisitor visitor{
    [&](const RefuseStep& aStep) { Refuse(aStep, aPass); },
    [&](const WaitStep&) {},
    [&](const DispatchStep& aStep) { Dispatch(aStep, aPass); },
    [&](const CancelStep& aStep) {
      aPass.Add(CancelAction{ aStep.mRequest, aStep.mAttempt });
    },
    [&](const FinishStep& aStep) { Finish(aStep, aPass); },
  };
  for (const auto& it : aSteps) {
    std::visit(visitor, it);
  }
}

void RequestSystem::Dispatch(const DispatchStep& aStep, NodePass& aPass)
{
  auto* record = Find(aStep.mRequest);
  if (record == nullptr) {
    mParts.mRouter.WithdrawAttempt(aStep.mRequest, aStep.mAttempt, aPass.Now());
    return;
  }
  record->mHeld = aStep;
  const auto& service = record->mRequest.mFacts.mService;
  record->mLastModel =
    aStep.mVersion ? aStep.mVersion->Value() : service.value_or(ServiceName()).Value();
  if (record->mSessionToPin && aStep.mVersion) {
    AskPin(*record, aPass);
  } else if (record->mRight == RunRight::Needed) {
    mRights.Ask(*record, aPass);
  } else {
    Carry(*record, aStep, aPass);
  }
}

void RequestSystem::AskPin(RequestRecord& aRecord, NodePass& aPass)
{
  const auto expires = aPass.Wall() + mParts.mFollower.Current()->mRetention.mPins;
  mLedger.Take(mParts.mPins.Pin(aRecord.mRequest.mFacts.mId,
                                aRecord.mTeam,
                                *aRecord.mSessionToPin,
                                *aRecord.mHeld->mVersion,
                                aPass.Wall(),
                                expires),
               aPass);
}

void RequestSystem::TakePin(const PinAnswer& aAnswer, NodePass& aPass)
{
  auto* record = Find(aAnswer.mRequest);
  if (record == nullptr || !record->mHeld) {
    return;
  }
  if (aAnswer.mResult == PinResult::StoreDown) {
    RefuseHeld(RefusalForPinStore(aAnswer.mRequest), aPass);
    return;
  }
  record->mSessionToPin.reset();
  const auto step = *record->mHeld;
  if (step.mVersion == aAnswer.mVersion) {
    Dispatch(step, aPass);
    return;
  }
  record->mHeld.reset();
  TakeSteps(mParts.mRouter.Repin(aAnswer.mRequest, aAnswer.mVersion, aPass.Now()), aPass);
}

void RequestSystem::TakeClaim(const ClaimAnswer& aAnswer, NodePass& aPass)
{
  if (aAnswer.mResult == ClaimResult::Granted) {
    TakeRightGranted(aAnswer.mRequest, aPass);
  } else if (aAnswer.mResult == ClaimResult::Finished && aAnswer.mOutcome) {
    TakeRightFinished(aAnswer.mRequest, *aAnswer.mOutcome, aPass);
  } else {
    TakeRightRefused(RefusalForClaim(aAnswer), aPass);
  }
}

void RequestSystem::TakeRightGranted(const RequestId& aRequest, NodePass& aPass)
{
  auto* record = Find(aRequest);
  if (record == nullptr || record->mRight != RunRight::Asked) {
    return;
  }
  record->mRight = RunRight::Granted;
  if (record->mHeld) {
    const auto step = *record->mHeld;
    Carry(*record, step, aPass);
  }
}

void RequestSystem::TakeRightFinished(const RequestId& aRequest,
                                      const ClaimOutcome& aOutcome,
                                      NodePass& aPass)
{
  auto* record = Find(aRequest);
  if (record == nullptr) {
    return;
  }
  record->mRight = RunRight::NotNeeded;
  DropHeld(*record, aPass);
  if (aOutcome.mVerdict == Verdict::Ran && !aOutcome.mBodyDropped) {
    aPass.Add(
      ReplayAction{ aRequest, aOutcome.mHttpStatus, aOutcome.mContentType, aOutcome.mBody });
  } else {
    aPass.Add(RefuseAction{ RefusalForStoredOutcome(aRequest, aOutcome) });
  }
  mParts.mRequests.erase(aRequest);
}

void RequestSystem::TakeRightRefused(const RefuseStep& aRefusal, NodePass& aPass)
{
  auto* record = Find(aRefusal.mRequest);
  if (record == nullptr) {
    return;
  }
  if (record->mHasTicket) {
    mRights.End(*record, { 0, Verdict::NotRun, "", "", false }, aPass);
  }
  record->mRight = RunRight::NotNeeded;
  RefuseHeld(aRefusal, aPass);
}

void RequestSystem::Carry(RequestRecord& aRecord, const DispatchStep& aStep, NodePass& aPass)
{
  const auto& facts = aRecord.mRequest.mFacts;
  if (!mParts.mRouter.MayCarryOut(aStep.mRequest, aStep.mAttempt)) {
    RefuseHeld(RefusalForOutdatedStep(facts.mId), aPass);
    return;
  }
  if (!mRights.TakeDispatch(aRecord)) {
    RefuseHeld(RefusalForSpentRight(facts.mId), aPass);
    return;
  }
  aRecord.mHeld.reset();
  aRecord.mDispatched = true;
  if (aStep.mVersion) {
    aRecord.mVersions[aStep.mAttempt] = *aStep.mVersion;
  }
  aPass.Add(
    DispatchAction{ aStep, aRecord.mPriority, facts.mKey, TokenFor(aRecord, aStep, aPass.Wall()) });
}

void RequestSystem::Refuse(const RefuseStep& aRefusal, NodePass& aPass)
{
  aPass.Add(RefuseAction{ aRefusal });
  auto* record = Find(aRefusal.mRequest);
  if (record == nullptr) {
    return;
  }
  mRights.End(*record,
              { aRefusal.mHttpStatus, aRefusal.mVerdict, "application/problem+json", "", false },
              aPass);
  if (aRefusal.mVerdict != Verdict::NotRun) {
    RecordUsage(*record, record->mLastModel, aRefusal.mVerdict, aPass);
  }
  mParts.mRequests.erase(aRefusal.mRequest);
}

void RequestSystem::RefuseHeld(const RefuseStep& aRefusal, NodePass& aPass)
{
  auto refusal = aRefusal;
  if (auto* record = Find(aRefusal.mRequest)) {
    DropHeld(*record, aPass);
    for (const auto& [attempt, outcome] : record->mOutcomes) {
      refusal.mVerdict = WorseVerdict(refusal.mVerdict, outcome.mVerdict);
    }
  }
  Refuse(refusal, aPass);
}

void RequestSystem::Finish(const FinishStep& aStep, NodePass& aPass)
{
  auto* record = Find(aStep.mRequest);
  if (record == nullptr) {
    return;
  }
  const auto version = record->mVersions.find(aStep.mAttempt);
  const auto model =
    version == record->mVersions.end() ? record->mLastModel : version->second.Value();
  const auto& content = record->mLastContent;
  mRights.End(*record,
              { content.mHttpStatus, aStep.mVerdict, content.mContentType, content.mBody, false },
              aPass);
  record->mFinishing = aStep.mAttempt;
  RecordUsage(*record, model, aStep.mVerdict, aPass);
}

void RequestSystem::TakeUsageSafe(const RequestId& aRequest, NodePass& aPass)
{
  auto* record = Find(aRequest);
  if (record == nullptr || !record->mFinishing) {
    return;
  }
  aPass.Add(FinishAction{ aRequest, *record->mFinishing });
  mParts.mRequests.erase(aRequest);
}

void RequestSystem::Tick(NodePass& aPass)
{
  TakeSteps(mParts.mRouter.Tick(aPass.Now()), aPass);
  if (mParts.mUnconfirmed.empty()) {
    return;
  }
  const bool confirmed = !mParts.mFollower.NeedsConfirmation(aPass.Now());
  auto waiting = std::move(mParts.mUnconfirmed);
  mParts.mUnconfirmed.clear();
  for (auto& it : waiting) {
    if (confirmed) {
      Admit(std::move(it.mRequest), aPass);
    } else if (aPass.Now() >= it.mGiveUp) {
      aPass.AddEvents({ { &kGenerationUnconfirmed, {} } });
      aPass.Add(RefuseAction{ RefusalForUnconfirmed(it.mRequest.mFacts.mId) });
    } else {
      mParts.mUnconfirmed.push_back(std::move(it));
    }
  }
}

void RequestSystem::DropHeld(RequestRecord& aRecord, NodePass& aPass)
{
  if (!aRecord.mHeld) {
    return;
  }
  const auto step = *aRecord.mHeld;
  aRecord.mHeld.reset();
  mParts.mRouter.WithdrawAttempt(step.mRequest, step.mAttempt, aPass.Now());
}

void RequestSystem::RecordUsage(const RequestRecord& aRecord,
                                const std::string& aModel,
                                Verdict aVerdict,
                                NodePass& aPass)
{
  UsageRecord usage;
  const auto& facts = aRecord.mRequest.mFacts;
  usage.mTeam = aRecord.mTeam;
  usage.mKey = facts.mKey;
  usage.mRequest = facts.mId;
  usage.mModel = aModel;
  usage.mVerdict = aVerdict;
  usage.mAt = aPass.Wall();
  if (aRecord.mFinishing) {
    AddTokens(aRecord, *aRecord.mFinishing, usage);
  }
  mLedger.Take(mParts.mUsage.Record(usage, aPass.Now()), aPass);
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

std::string RequestSystem::TokenFor(const RequestRecord& aRecord,
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
