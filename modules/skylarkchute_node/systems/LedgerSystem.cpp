#include "LedgerSystem.h"

#include "../peers/PeerMethods.h"
#include "RequestSystem.h"

namespace skylarkchute {

namespace {

constexpr std::chrono::milliseconds kClaimStatusQueryTimeout{ 500 };

} // namespace

LedgerSystem::LedgerSystem(NodeParts& aParts) : mParts(aParts) {}

void LedgerSystem::ApplyOutput(const ClaimOutput& aOutput, EventContext& aContext)
{
  aContext.AddEvents(aOutput.mEvents);
  for (const auto& it : aOutput.mStatusQueries) {
    aContext.AddPeerCall({ PeerPurpose::ClaimStatusQuery, it.mId, {} },
                         InstanceOf(it.mHolder),
                         kClaimOutcomeMethod,
                         EncodeClaimStatusQuery(it),
                         kClaimStatusQueryTimeout);
  }
  for (const auto& it : aOutput.mAnswers) {
    mRequests->OnClaimAnswer(it, aContext);
  }
  Submit(aOutput.mRegisters, aContext);
}

void LedgerSystem::ApplyOutput(const PinOutput& aOutput, EventContext& aContext)
{
  for (const auto& it : aOutput.mAnswers) {
    mRequests->OnPinAnswer(it, aContext);
  }
  Submit(aOutput.mRegisters, aContext);
}

void LedgerSystem::ApplyOutput(const RegisterServiceOutput& aOutput, EventContext& aContext)
{
  aContext.AddEvents(aOutput.mEvents);
  aContext.AddCalls(CallingComponent::Registers, aOutput.mCalls);
  for (const auto& it : aOutput.mForwards) {
    aContext.AddPeerCall({ PeerPurpose::RegisterForward, it.mId, {} },
                         it.mTo,
                         kRegisterWriteMethod,
                         it.mParams,
                         it.mTimeout);
  }
  for (const auto& it : aOutput.mAnswers) {
    aContext.AddPeerAnswer(it.mId, it.mResult);
  }
  for (const auto& it : aOutput.mOutcomes) {
    ApplyOutput(mParts.mClaims.OnRegister(it, aContext.Now(), aContext.Wall()), aContext);
    ApplyOutput(mParts.mPins.OnRegister(it), aContext);
  }
}

void LedgerSystem::ApplyOutput(const UsageOutput& aOutput, EventContext& aContext)
{
  aContext.AddEvents(aOutput.mEvents);
  aContext.AddCalls(CallingComponent::Usage, aOutput.mCalls);
  for (const auto& it : aOutput.mMessages) {
    const auto* method =
      it.mKind == UsageMessageKind::Backup ? kUsageBackupMethod : kUsageDropMethod;
    aContext.AddPeerCall(
      { PeerPurpose::UsageBackup, it.mId, {} }, it.mTo, method, it.mParams, it.mTimeout);
  }
  for (const auto& it : aOutput.mReleasedRequests) {
    mRequests->OnUsageReleased(it, aContext);
  }
}

void LedgerSystem::PeerReplied(const PeerCallTable::Origin& aOrigin,
                               Verdict aVerdict,
                               const std::optional<std::string>& aMessage,
                               EventContext& aContext)
{
  if (aOrigin.mPurpose == PeerPurpose::RegisterForward) {
    ApplyOutput(
      mParts.mRegisters.OnForwardReply(aOrigin.mLocalId, aVerdict, aMessage, aContext.Now()),
      aContext);
  }
  if (aOrigin.mPurpose == PeerPurpose::ClaimStatusQuery) {
    const auto report = aMessage ? DecodeClaimStatusReply(*aMessage) : std::nullopt;
    ApplyOutput(
      mParts.mClaims.OnStatusReply(aOrigin.mLocalId, report, aContext.Now(), aContext.Wall()),
      aContext);
  }
  if (aOrigin.mPurpose == PeerPurpose::UsageBackup) {
    const auto answer = aMessage ? ReadJsonObject(*aMessage) : std::nullopt;
    const bool held = answer && JsonFlagField(*answer, "held");
    ApplyOutput(mParts.mUsage.OnBackupReply(aOrigin.mLocalId, held, aContext.Now()), aContext);
  }
}

std::string LedgerSystem::AnswerClaimStatusQuery(const std::string& aMessage) const
{
  const auto question = DecodeClaimStatusQuery(aMessage);
  if (!question || question->mHolder != mParts.mOptions.mIncarnation) {
    return EncodeClaimStatusReply(ClaimStatusReply{});
  }
  return EncodeClaimStatusReply(mParts.mClaims.ClaimStatusOf(question->mClaimant));
}

void LedgerSystem::SetPeers(const std::vector<PeerRecord>& aPeers, EventContext& aContext)
{
  std::vector<InstanceId> members{ mParts.mOptions.mInstance };
  std::vector<BackupCandidate> backups;
  for (const auto& it : aPeers) {
    if (it.mLeaving || it.mId == mParts.mOptions.mInstance) {
      continue;
    }
    members.push_back(it.mId);
    backups.push_back({ it.mId, it.mZone });
  }
  mParts.mRegisters.SetMembers(std::move(members));
  ApplyOutput(mParts.mUsage.SetPeers(backups, aContext.Now()), aContext);
}

void LedgerSystem::Tick(EventContext& aContext)
{
  ApplyOutput(mParts.mRegisters.Tick(aContext.Now(), aContext.Wall()), aContext);
  ApplyOutput(mParts.mClaims.Tick(aContext.Now(), aContext.Wall()), aContext);
  ApplyOutput(mParts.mUsage.Tick(aContext.Now()), aContext);
}

void LedgerSystem::Submit(const std::vector<RegisterRequest>& aRequests, EventContext& aContext)
{
  for (const auto& it : aRequests) {
    ApplyOutput(mParts.mRegisters.Submit(it, aContext.Now()), aContext);
  }
}

} // namespace skylarkchute
