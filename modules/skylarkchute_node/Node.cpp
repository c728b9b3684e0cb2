#include "Node.h"

#include "events/NodeEvents.h"
#include "peers/PeerMethods.h"
#include "requests/Refusals.h"
#include "state/EventContext.h"
#include "systems/BundleSystem.h"
#include "systems/FleetSystem.h"
#include "systems/KeySystem.h"
#include "systems/LedgerSystem.h"
#include "systems/PermitSystem.h"
#include "systems/RequestSystem.h"
#include "systems/RollSystem.h"

namespace skylarkchute {

/** The components of a node and the systems that connect them. */
struct Node::State
{
  explicit State(NodeOptions aOptions)
    : mParts(std::move(aOptions))
    , mLedger(mParts)
    , mPermits(mParts, mLedger)
    , mRequests(mParts, mLedger, mPermits)
    , mKeys(mParts)
    , mRolls(mParts)
    , mFleet(mParts, mLedger, mKeys)
    , mBundles(mParts, mRequests, mRolls, mFleet)
  {
    mLedger.Connect(mRequests);
    mPermits.Connect(mRequests);
  }

  void StoreReplied(CallingComponent aComponent, const ObjectReply& aReply, EventContext& aContext);
  void PeerReplied(const PeerCallTable::Origin& aOrigin,
                   const PeerReply& aReply,
                   EventContext& aContext);
  std::optional<std::string> AnswerPeer(std::uint64_t aToken,
                                        const InstanceId& aFrom,
                                        const std::string& aMethod,
                                        const std::string& aMessage,
                                        EventContext& aContext);
  void ApplyRouterReports(EventContext& aContext);

  NodeParts mParts;
  LedgerSystem mLedger;
  PermitSystem mPermits;
  RequestSystem mRequests;
  KeySystem mKeys;
  RollSystem mRolls;
  FleetSystem mFleet;
  BundleSystem mBundles;
};

void Node::State::StoreReplied(CallingComponent aComponent,
                               const ObjectReply& aReply,
                               EventContext& aContext)
{
  switch (aComponent) {
    case CallingComponent::Follower:
      mBundles.ApplyOutput(mParts.mFollower.OnReply(aReply, aContext.Now()), aContext);
      break;
    case CallingComponent::Registers:
      mLedger.ApplyOutput(mParts.mRegisters.OnReply(aReply, aContext.Now()), aContext);
      break;
    case CallingComponent::Usage:
      mLedger.ApplyOutput(mParts.mUsage.OnReply(aReply, aContext.Now()), aContext);
      break;
    case CallingComponent::Keys:
      mKeys.StoreReplied(aReply, aContext);
      break;
    case CallingComponent::Rolls:
      mRolls.StoreReplied(aReply, aContext);
      break;
  }
}

void Node::State::PeerReplied(const PeerCallTable::Origin& aOrigin,
                              const PeerReply& aReply,
                              EventContext& aContext)
{
  mFleet.OnPeerCallEnded(aReply, aContext);
  const auto envelope =
    aReply.mOk ? ReadEnvelope(aReply.mFrom, aReply.mResult) : std::optional<PeerEnvelope>();
  std::optional<std::string> message;
  if (envelope) {
    mBundles.ApplyOutput(mParts.mFollower.OnPeerHead(envelope->mHead, aContext.Now()), aContext);
    message = envelope->mMessage;
  }
  switch (aOrigin.mPurpose) {
    case PeerPurpose::RegisterForward:
    case PeerPurpose::ClaimStatusQuery:
    case PeerPurpose::UsageBackup:
      mLedger.PeerReplied(aOrigin, aReply.mVerdict, message, aContext);
      break;
    case PeerPurpose::BundleParts:
      mBundles.PeerReplied(aOrigin.mLocalId, message, aContext);
      break;
    case PeerPurpose::TicketForward:
      mPermits.OnIssuerReply(aOrigin.mRequest, message, aContext);
      break;
    case PeerPurpose::Evidence:
    case PeerPurpose::Quota:
      mFleet.PeerReplied(aOrigin.mPurpose,
                         { aOrigin.mLocalId,
                           aReply.mFrom,
                           aReply.mVerdict,
                           message.has_value(),
                           message.value_or("") },
                         aContext);
      break;
    case PeerPurpose::Notice:
      break;
  }
}

std::optional<std::string> Node::State::AnswerPeer(std::uint64_t aToken,
                                                   const InstanceId& aFrom,
                                                   const std::string& aMethod,
                                                   const std::string& aMessage,
                                                   EventContext& aContext)
{
  if (aMethod == kRegisterWriteMethod) {
    mLedger.ApplyOutput(mParts.mRegisters.Serve(aToken, aMessage, aContext.Now()), aContext);
    return std::nullopt;
  }
  if (aMethod == kClaimOutcomeMethod) {
    return mLedger.AnswerClaimStatusQuery(aMessage);
  }
  if (aMethod == kBundlePartsMethod) {
    return mBundles.AnswerPartsRequest(aMessage, aContext).value_or("{}");
  }
  if (aMethod == kUsageBackupMethod) {
    const bool held = mParts.mUsage.OnBackup(aMessage, aContext.Now());
    return std::string(held ? R"({"held":true})" : R"({"held":false})");
  }
  if (aMethod == kUsageDropMethod) {
    mParts.mUsage.OnDrop(aMessage);
    return std::string("{}");
  }
  if (aMethod == kTicketAcceptMethod) {
    return mPermits.AnswerTicketRequest(aMessage, aContext.Wall());
  }
  if (aMethod == kTicketFinishMethod) {
    return mPermits.AnswerTicketFinish(aMessage);
  }
  return mFleet.Answer(aFrom, aMethod, aMessage, aContext);
}

void Node::State::ApplyRouterReports(EventContext& aContext)
{
  const auto reports = mParts.mRouter.TakeReports(aContext.Now());
  mFleet.ApplyReports(reports, aContext);
  aContext.AddEvents(reports.mEvents);
  for (const auto& it : reports.mRatingCandidates) {
    const auto record = mParts.mRequests.find(it.mRequest);
    if (record != mParts.mRequests.end()) {
      const auto& request = record->second;
      aContext.Add(RateAction{ it, request.mRequest.mFacts.mClass, request.mTeam });
    }
  }
}

Node::Node(NodeOptions aOptions) : mState(std::make_unique<State>(std::move(aOptions))) {}

Node::~Node() = default;

NodeActions Node::Start(NodeTime aTime)
{
  EventContext context(mState->mParts, aTime);
  mState->mBundles.ApplyOutput(mState->mParts.mFollower.Start(aTime.mNow), context);
  mState->mKeys.Tick(context);
  return context.TakeActions();
}

NodeActions Node::OnRequest(NodeRequest aRequest, NodeTime aTime)
{
  EventContext context(mState->mParts, aTime);
  mState->mRequests.Start(std::move(aRequest), context);
  mState->ApplyRouterReports(context);
  return context.TakeActions();
}

NodeActions Node::OnCallerDisconnected(const RequestId& aRequest, NodeTime aTime)
{
  EventContext context(mState->mParts, aTime);
  mState->mRequests.OnCallerDisconnected(aRequest, context);
  return context.TakeActions();
}

NodeActions Node::OnFirstToken(const RequestId& aRequest, const AttemptId& aAttempt, NodeTime aTime)
{
  mState->mParts.mRouter.ReportFirstToken(aRequest, aAttempt, aTime.mNow);
  return {};
}

NodeActions Node::OnAttemptEnd(const RequestId& aRequest,
                               const AttemptId& aAttempt,
                               const AttemptOutcome& aOutcome,
                               AnswerContent aContent,
                               NodeTime aTime)
{
  EventContext context(mState->mParts, aTime);
  mState->mRequests.AttemptEnded(aRequest, aAttempt, aOutcome, std::move(aContent), context);
  mState->ApplyRouterReports(context);
  return context.TakeActions();
}

NodeActions Node::OnObjectReply(const ObjectReply& aReply, NodeTime aTime)
{
  EventContext context(mState->mParts, aTime);
  if (const auto origin = mState->mParts.mStoreCalls.Take(aReply.mId)) {
    auto reply = aReply;
    reply.mId = origin->mLocalId;
    mState->StoreReplied(origin->mComponent, reply, context);
  }
  return context.TakeActions();
}

NodeActions Node::OnPeerReply(const PeerReply& aReply, NodeTime aTime)
{
  EventContext context(mState->mParts, aTime);
  if (const auto origin = mState->mParts.mPeerCalls.Take(aReply.mId)) {
    mState->PeerReplied(*origin, aReply, context);
  }
  return context.TakeActions();
}

NodeActions Node::OnPeerRequest(std::uint64_t aToken,
                                const InstanceId& aFrom,
                                const std::string& aMethod,
                                const std::string& aParams,
                                NodeTime aTime)
{
  EventContext context(mState->mParts, aTime);
  const auto envelope = ReadEnvelope(aFrom, aParams);
  if (!envelope) {
    context.AddEvents({ { &kPeerMessageUnreadable, { { "from", aFrom.Value() } } } });
    context.Add(AnswerPeerAction{ aToken, std::nullopt });
    return context.TakeActions();
  }
  mState->mBundles.ApplyOutput(mState->mParts.mFollower.OnPeerHead(envelope->mHead, aTime.mNow),
                               context);
  mState->mFleet.OnPeerMessage(aFrom, context);
  const auto answer = mState->AnswerPeer(aToken, aFrom, aMethod, envelope->mMessage, context);
  if (answer) {
    context.AddPeerAnswer(aToken, *answer);
  }
  return context.TakeActions();
}

NodeActions Node::OnInstances(const std::vector<EndpointRecord>& aEndpoints,
                              const std::vector<PeerRecord>& aPeers,
                              NodeTime aTime)
{
  EventContext context(mState->mParts, aTime);
  mState->mParts.mRouter.ApplyEndpoints(aEndpoints, aTime.mNow);
  mState->mFleet.ApplyPeerList(aPeers, context);
  return context.TakeActions();
}

NodeActions Node::OnLoad(const LoadReport& aReport, NodeTime aTime)
{
  mState->mParts.mRouter.ApplyLoad(aReport, aTime.mNow);
  return {};
}

NodeActions Node::OnRating(const RateAction& aRated, double aRating, NodeTime aTime)
{
  EventContext context(mState->mParts, aTime);
  const auto& ratingRequest = aRated.mRatingCandidate;
  auto& router = mState->mParts.mRouter;
  if (ratingRequest.mHeld) {
    mState->mRequests.ApplySteps(
      router.ReportHeldRating(ratingRequest.mRequest, ratingRequest.mAttempt, aRating, aTime.mNow),
      context);
  } else {
    router.ReportRating(ratingRequest.mVersion, aRated.mClass, aRated.mTeam, aRating, aTime.mNow);
  }
  mState->ApplyRouterReports(context);
  return context.TakeActions();
}

NodeActions Node::Tick(NodeTime aTime)
{
  EventContext context(mState->mParts, aTime);
  mState->mBundles.ApplyOutput(mState->mParts.mFollower.Tick(aTime.mNow), context);
  mState->mRequests.Tick(context);
  mState->mLedger.Tick(context);
  mState->mKeys.Tick(context);
  mState->ApplyRouterReports(context);
  mState->mRolls.Tick(context);
  mState->mFleet.Tick(context);
  return context.TakeActions();
}

NodeActions Node::BeginLeaving(NodeTime aTime)
{
  EventContext context(mState->mParts, aTime);
  mState->mParts.mLeaving = true;
  mState->mFleet.SendGoodbyes(context);
  return context.TakeActions();
}

NodeActions Node::Flush(NodeTime aTime)
{
  EventContext context(mState->mParts, aTime);
  mState->mLedger.ApplyOutput(mState->mParts.mUsage.Flush(aTime.mNow), context);
  return context.TakeActions();
}

bool Node::IsDrained() const
{
  const auto& parts = mState->mParts;
  return InFlight() == 0 && parts.mUsage.IsDrained() && !parts.mClaims.HasUnsavedOutcome();
}

std::size_t Node::InFlight() const
{
  return mState->mParts.mRequests.size() + mState->mParts.mUnconfirmed.size();
}

bool Node::IsReady() const
{
  return mState->mParts.mFollower.Current() != nullptr && !mState->mParts.mLeaving;
}

std::optional<std::vector<VersionId>> Node::VersionsFor(const std::string& aApiKey) const
{
  const auto* team = mState->mParts.mRouter.Authenticate(aApiKey);
  if (team == nullptr) {
    return std::nullopt;
  }
  const auto& bundle = *mState->mParts.mFollower.Current();
  std::vector<VersionId> versions;
  for (const auto& it : bundle.mVersions) {
    if (bundle.Allows(*team, it)) {
      versions.push_back(it.mId);
    }
  }
  return versions;
}

std::variant<std::string, RefuseStep> Node::IssueTicket(const std::string& aApiKey, NodeTime aTime)
{
  const auto* team = mState->mParts.mRouter.Authenticate(aApiKey);
  if (team == nullptr) {
    return RefusalForUnknownKey();
  }
  if (mState->mParts.mLeaving) {
    return RefusalForLeaving({});
  }
  const auto ticket = mState->mParts.mTickets.Issue(team->mName, aTime.mWall);
  if (!ticket) {
    return RefusalForNoKeyRing();
  }
  return *ticket;
}

Json::Value Node::StatusJson(NodeTime aTime) const
{
  const auto& parts = mState->mParts;
  Json::Value status(Json::objectValue);
  status["instance"] = parts.mOptions.mInstance.Value();
  status["incarnation"] = parts.mOptions.mIncarnation.Value();
  status["zone"] = parts.mOptions.mZone.Value();
  status["generation"] = Json::UInt64(parts.mFollower.CurrentGeneration());
  status["confirmed"] = !parts.mFollower.NeedsConfirmation(aTime.mNow);
  status["ready"] = IsReady();
  status["leaving"] = parts.mLeaving;
  status["in_flight"] = Json::UInt64(InFlight());
  if (const auto& head = parts.mFollower.Head()) {
    status["bundle"] = head->mBundle.Value();
  }
  status["rolls"] = mState->mRolls.StatusJson();
  status["limits"] = Json::Value(Json::arrayValue);
  for (const auto& it : parts.mRouter.Demand(aTime.mNow)) {
    Json::Value limit(Json::objectValue);
    limit["team"] = it.mTeam.Value();
    limit["requests_per_second"] = it.mRequestsPerSecond;
    limit["tokens_per_second"] = it.mTokensPerSecond;
    status["limits"].append(limit);
  }
  return status;
}

} // namespace skylarkchute
