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

void FleetSystem::ApplyList(const std::vector<PeerRecord>& aPeers, NodePass& aPass)
{
  aPass.AddEvents(mParts.mMembership.ApplyList(aPeers, aPass.Now()));
  SpreadMembers(aPass);
}

void FleetSystem::Heard(const InstanceId& aFrom, NodePass& aPass)
{
  if (const auto* record = mParts.mMembership.Find(aFrom)) {
    const auto copy = *record;
    aPass.AddEvents(mParts.mMembership.Heard(copy, aPass.Now()));
    SpreadMembers(aPass);
  }
}

void FleetSystem::Observe(const PeerReply& aReply, NodePass& aPass)
{
  aPass.AddEvents(mParts.mMembership.Observe(aReply, aPass.Now()));
  SpreadMembers(aPass);
}

void FleetSystem::PeerReplied(PeerPurpose aPurpose, const PeerReply& aReply, NodePass& aPass)
{
  if (aPurpose == PeerPurpose::Evidence) {
    mParts.mEvidence.OnReply(aReply, aPass.Now());
  }
  if (aPurpose == PeerPurpose::Quota) {
    Take(mParts.mQuota.OnReply(aReply, aPass.Now()), aPass);
  }
}

std::optional<std::string> FleetSystem::Answer(const InstanceId& aFrom,
                                               const std::string& aMethod,
                                               const std::string& aMessage,
                                               NodePass& aPass)
{
  if (aMethod == kEvidenceUpMethod) {
    Take(mParts.mEvidence.OnUp(aMessage), aPass);
    return std::string(kEmptyAnswer);
  }
  if (aMethod == kEvidenceDownMethod) {
    Take(mParts.mEvidence.OnDown(aMessage), aPass);
    return std::string(kEmptyAnswer);
  }
  if (aMethod == kAlertSpreadMethod) {
    Take(mParts.mAlerts.OnSpread(aMessage, aPass.Now()), aPass);
    return std::string(kEmptyAnswer);
  }
  if (aMethod == kQuotaDemandMethod) {
    return mParts.mQuota.OnReport(aMessage, aPass.Now());
  }
  if (aMethod == kPeerGoodbyeMethod) {
    aPass.AddEvents(mParts.mMembership.SaidGoodbye(aFrom, aPass.Now()));
    SpreadMembers(aPass);
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

void FleetSystem::TakeReports(const RouterReports& aReports, NodePass& aPass)
{
  mParts.mEvidence.Add(aReports.mEvidence, aPass.Wall());
  mParts.mRolls.AddEvidence(aReports.mEvidence);
  for (const auto& it : aReports.mAlerts) {
    Take(mParts.mAlerts.Raise(it, aPass.Now()), aPass);
  }
}

void FleetSystem::SayGoodbye(NodePass& aPass)
{
  const auto message = EncodePeerGoodbye({ mParts.mOptions.mInstance });
  for (const auto& it : mParts.mMembership.LivePeers()) {
    aPass.AddPeerCall(
      { PeerPurpose::Notice, 0, {} }, it.mId, kPeerGoodbyeMethod, message, kGoodbyeTimeout);
  }
}

void FleetSystem::Tick(NodePass& aPass)
{
  aPass.AddEvents(mParts.mMembership.Tick(aPass.Now()));
  SpreadMembers(aPass);
  Take(mParts.mEvidence.Tick(aPass.Now(), aPass.Wall()), aPass);
  Take(mParts.mAlerts.Tick(aPass.Now()), aPass);
  Take(mParts.mQuota.Tick(mParts.mRouter.Demand(aPass.Now()), aPass.Now()), aPass);
}

void FleetSystem::SpreadMembers(NodePass& aPass)
{
  const auto generation = mParts.mMembership.Generation();
  if (generation == mSpreadGeneration) {
    return;
  }
  mSpreadGeneration = generation;
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
  mLedger.SetPeers(peers, aPass);
}

void FleetSystem::Take(const EvidenceOutput& aOutput, NodePass& aPass)
{
  aPass.AddEvents(aOutput.mEvents);
  AddCalls(PeerPurpose::Evidence, aOutput.mCalls, aPass);
  if (!aOutput.mFleet.empty()) {
    mParts.mRouter.ApplyFleetEvidence(aOutput.mFleet, aPass.Now());
    mParts.mRolls.AddEvidence(aOutput.mFleet);
  }
}

void FleetSystem::Take(const AlertOutput& aOutput, NodePass& aPass)
{
  aPass.AddEvents(aOutput.mEvents);
  AddCalls(PeerPurpose::Notice, aOutput.mCalls, aPass);
  for (const auto& it : aOutput.mAlerts) {
    mParts.mRouter.ApplyAlert(it, aPass.Now());
  }
}

void FleetSystem::Take(const QuotaOutput& aOutput, NodePass& aPass)
{
  aPass.AddEvents(aOutput.mEvents);
  AddCalls(PeerPurpose::Quota, aOutput.mCalls, aPass);
  if (!aOutput.mShares.empty()) {
    mParts.mRouter.ApplyLimitShares(aOutput.mShares, aPass.Now());
  }
}

void FleetSystem::AddCalls(PeerPurpose aPurpose,
                           const std::vector<PeerCall>& aCalls,
                           NodePass& aPass)
{
  for (const auto& it : aCalls) {
    aPass.AddPeerCall({ aPurpose, it.mId, {} }, it.mTo, it.mMethod, it.mParams, it.mTimeout);
  }
}

} // namespace skylarkchute
