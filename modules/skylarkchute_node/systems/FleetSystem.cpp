#include "FleetSystem.h"

#include "../peers/PeerMethods.h"
#include "KeySystem.h"
#include "LedgerSystem.h"

namespace skylarkchute {

namespace {

constexpr std::chrono::milliseconds kGoodbyeTimeout{ 500 };
constexpr const char* kEmptyAnswer = "{}";

} // namespace

FleetSystem::FleetSystem(NodeParts& aParts, LedgerSystem& aLedger, KeySystem& aKeys)
  : mParts(aParts)
  , mLedger(aLedger)
  , mKeys(aKeys)
{
}

void FleetSystem::ApplyPeerList(const std::vector<PeerRecord>& aPeers, EventContext& aContext)
{
  aContext.AddEvents(mParts.mMembership.ApplyList(aPeers, aContext.Now()));
  DistributeMembers(aContext);
}

void FleetSystem::OnPeerMessage(const InstanceId& aFrom, EventContext& aContext)
{
  if (const auto* record = mParts.mMembership.Find(aFrom)) {
    const auto copy = *record;
    aContext.AddEvents(mParts.mMembership.RecordMessage(copy, aContext.Now()));
    DistributeMembers(aContext);
  }
}

void FleetSystem::OnPeerCallEnded(const PeerReply& aReply, EventContext& aContext)
{
  aContext.AddEvents(mParts.mMembership.RecordReply(aReply, aContext.Now()));
  DistributeMembers(aContext);
}

void FleetSystem::PeerReplied(PeerPurpose aPurpose, const PeerReply& aReply, EventContext& aContext)
{
  if (aPurpose == PeerPurpose::Evidence) {
    mParts.mEvidence.OnReply(aReply, aContext.Now());
  }
  if (aPurpose == PeerPurpose::Quota) {
    ApplyOutput(mParts.mQuota.OnReply(aReply, aContext.Now()), aContext);
  }
}

std::optional<std::string> FleetSystem::Answer(const InstanceId& aFrom,
                                               const std::string& aMethod,
                                               const std::string& aMessage,
                                               EventContext& aContext)
{
  if (aMethod == kEvidenceUpMethod) {
    ApplyOutput(mParts.mEvidence.OnEvidenceUp(aMessage), aContext);
    return std::string(kEmptyAnswer);
  }
  if (aMethod == kEvidenceDownMethod) {
    ApplyOutput(mParts.mEvidence.OnEvidenceDown(aMessage), aContext);
    return std::string(kEmptyAnswer);
  }
  if (aMethod == kAlertSpreadMethod) {
    ApplyOutput(mParts.mAlerts.OnAlertMessage(aMessage, aContext.Now()), aContext);
    return std::string(kEmptyAnswer);
  }
  if (aMethod == kQuotaDemandMethod) {
    return mParts.mQuota.OnReport(aMessage, aContext.Now());
  }
  if (aMethod == kPeerGoodbyeMethod) {
    aContext.AddEvents(mParts.mMembership.RecordGoodbye(aFrom, aContext.Now()));
    DistributeMembers(aContext);
    return std::string(kEmptyAnswer);
  }
  return std::nullopt;
}

void FleetSystem::ApplyBundle()
{
  std::vector<LimitShare> limits;
  for (const auto& it : mParts.mFollower.Current()->mTeams) {
    limits.push_back({ it.mName, it.mRequestsPerSecond, it.mTokensPerSecond });
  }
  mParts.mQuota.SetLimits(std::move(limits));
}

void FleetSystem::ApplyReports(const RouterReports& aReports, EventContext& aContext)
{
  mParts.mEvidence.Add(aReports.mEvidence, aContext.Wall());
  mParts.mRolls.AddEvidence(aReports.mEvidence);
  for (const auto& it : aReports.mAlerts) {
    ApplyOutput(mParts.mAlerts.Raise(it, aContext.Now()), aContext);
  }
}

void FleetSystem::SendGoodbyes(EventContext& aContext)
{
  const auto message = EncodePeerGoodbye({ mParts.mOptions.mInstance });
  for (const auto& it : mParts.mMembership.LivePeers()) {
    aContext.AddPeerCall(
      { PeerPurpose::Notice, 0, {} }, it.mId, kPeerGoodbyeMethod, message, kGoodbyeTimeout);
  }
}

void FleetSystem::Tick(EventContext& aContext)
{
  aContext.AddEvents(mParts.mMembership.Tick(aContext.Now()));
  DistributeMembers(aContext);
  ApplyOutput(mParts.mEvidence.Tick(aContext.Now(), aContext.Wall()), aContext);
  ApplyOutput(mParts.mAlerts.Tick(aContext.Now()), aContext);
  ApplyOutput(mParts.mQuota.Tick(mParts.mRouter.Demand(aContext.Now()), aContext.Now()), aContext);
}

void FleetSystem::DistributeMembers(EventContext& aContext)
{
  const auto generation = mParts.mMembership.Generation();
  if (generation == mDistributedGeneration) {
    return;
  }
  mDistributedGeneration = generation;
  const auto& peers = mParts.mMembership.LivePeers();
  const auto& members = mParts.mMembership.LiveMembers();
  std::vector<FleetMember> fleet;
  std::vector<EvidenceTree::Member> tree{ { mParts.mOptions.mInstance, mParts.mOptions.mZone } };
  std::vector<InstanceId> others;
  for (const auto& it : peers) {
    fleet.push_back({ it.mId, it.mZone });
    tree.push_back({ it.mId, it.mZone });
    others.push_back(it.mId);
  }
  mParts.mFollower.ApplyFleet(fleet);
  mParts.mRolls.ApplyMembers(members);
  mParts.mEvidence.SetMembers(tree);
  mParts.mAlerts.SetPeers(std::move(others));
  mParts.mQuota.SetMembers(members);
  mKeys.SetMembers(members);
  mLedger.SetPeers(peers, aContext);
}

void FleetSystem::ApplyOutput(const EvidenceOutput& aOutput, EventContext& aContext)
{
  aContext.AddEvents(aOutput.mEvents);
  AddCalls(PeerPurpose::Evidence, aOutput.mCalls, aContext);
  if (!aOutput.mFleetIncrements.empty()) {
    mParts.mRouter.ApplyFleetEvidence(aOutput.mFleetIncrements, aContext.Now());
    mParts.mRolls.AddEvidence(aOutput.mFleetIncrements);
  }
}

void FleetSystem::ApplyOutput(const AlertOutput& aOutput, EventContext& aContext)
{
  aContext.AddEvents(aOutput.mEvents);
  AddCalls(PeerPurpose::Notice, aOutput.mCalls, aContext);
  for (const auto& it : aOutput.mAlerts) {
    mParts.mRouter.ApplyAlert(it, aContext.Now());
  }
}

void FleetSystem::ApplyOutput(const QuotaOutput& aOutput, EventContext& aContext)
{
  aContext.AddEvents(aOutput.mEvents);
  AddCalls(PeerPurpose::Quota, aOutput.mCalls, aContext);
  if (!aOutput.mShares.empty()) {
    mParts.mRouter.ApplyLimitShares(aOutput.mShares, aContext.Now());
  }
}

void FleetSystem::AddCalls(PeerPurpose aPurpose,
                           const std::vector<PeerCall>& aCalls,
                           EventContext& aContext)
{
  for (const auto& it : aCalls) {
    aContext.AddPeerCall({ aPurpose, it.mId, {} }, it.mTo, it.mMethod, it.mParams, it.mTimeout);
  }
}

} // namespace skylarkchute
