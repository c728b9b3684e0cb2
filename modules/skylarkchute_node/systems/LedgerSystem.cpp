#include "LedgerSystem.h"

#include "../peers/PeerMethods.h"
#include "RequestSystem.h"

namespace skylarkchute {

namespace {

constexpr std::chrono::milliseconds kClaimQuestionTimeout{ 500 };

} // namespace

LedgerSystem::LedgerSystem(NodeParts& aParts) : mParts(aParts) {}

void LedgerSystem::Take(const ClaimOutput& aOutput, NodePass& aPass)
{
  aPass.AddEvents(aOutput.mEvents);
  for (const auto& it : aOutput.mQuestions) {
    aPass.AddPeerCall({ PeerPurpose::ClaimQuestion, it.mId, {} },
                      InstanceOf(it.mHolder),
                      kClaimOutcomeMethod,
                      EncodeClaimQuestion(it),
                      kClaimQuestionTimeout);
  }
  for (const auto& it : aOutput.mAnswers) {
    mRequests->TakeClaim(it, aPass);
  }
  Submit(aOutput.mRegisters, aPass);
}

void LedgerSystem::Take(const PinOutput& aOutput, NodePass& aPass)
{
  for (const auto& it : aOutput.mAnswers) {
    mRequests->TakePin(it, aPass);
  }
  Submit(aOutput.mRegisters, aPass);
}

void LedgerSystem::Take(const RegisterServiceOutput& aOutput, NodePass& aPass)
{
  aPass.AddEvents(aOutput.mEvents);
  aPass.AddCalls(StoreUser::Registers, aOutput.mCalls);
  for (const auto& it : aOutput.mForwards) {
    aPass.AddPeerCall({ PeerPurpose::RegisterForward, it.mId, {} },
                      it.mTo,
                      kRegisterWriteMethod,
                      it.mParams,
                      it.mTimeout);
  }
  for (const auto& it : aOutput.mAnswers) {
    aPass.AddPeerAnswer(it.mId, it.mResult);
  }
  for (const auto& it : aOutput.mOutcomes) {
    Take(mParts.mClaims.OnRegister(it, aPass.Now(), aPass.Wall()), aPass);
    Take(mParts.mPins.OnRegister(it), aPass);
  }
}

void LedgerSystem::Take(const UsageOutput& aOutput, NodePass& aPass)
{
  aPass.AddEvents(aOutput.mEvents);
  aPass.AddCalls(StoreUser::Usage, aOutput.mCalls);
  for (const auto& it : aOutput.mMessages) {
    const auto* method =
      it.mKind == UsageMessageKind::Backup ? kUsageBackupMethod : kUsageDropMethod;
    aPass.AddPeerCall(
      { PeerPurpose::UsageBackup, it.mId, {} }, it.mTo, method, it.mParams, it.mTimeout);
  }
  for (const auto& it : aOutput.mSafe) {
    mRequests->TakeUsageSafe(it, aPass);
  }
}

void LedgerSystem::PeerReplied(const PeerCallTable::Origin& aOrigin,
                               Verdict aVerdict,
                               const std::optional<std::string>& aMessage,
                               NodePass& aPass)
{
  if (aOrigin.mPurpose == PeerPurpose::RegisterForward) {
    Take(mParts.mRegisters.OnForwardReply(aOrigin.mLocalId, aVerdict, aMessage, aPass.Now()),
         aPass);
  }
  if (aOrigin.mPurpose == PeerPurpose::ClaimQuestion) {
    const auto report = aMessage ? DecodeClaimReport(*aMessage) : std::nullopt;
    Take(mParts.mClaims.OnReport(aOrigin.mLocalId, report, aPass.Now(), aPass.Wall()), aPass);
  }
  if (aOrigin.mPurpose == PeerPurpose::UsageBackup) {
    const auto answer = aMessage ? ReadJsonObject(*aMessage) : std::nullopt;
    const bool held = answer && JsonFlagField(*answer, "held");
    Take(mParts.mUsage.OnBackupReply(aOrigin.mLocalId, held, aPass.Now()), aPass);
  }
}

std::string LedgerSystem::AnswerClaimQuestion(const std::string& aMessage) const
{
  const auto question = DecodeClaimQuestion(aMessage);
  if (!question || question->mHolder != mParts.mOptions.mIncarnation) {
    return EncodeClaimReport(ClaimReport{});
  }
  return EncodeClaimReport(mParts.mClaims.Report(question->mClaimant));
}

void LedgerSystem::SetPeers(const std::vector<PeerRecord>& aPeers, NodePass& aPass)
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
  Take(mParts.mUsage.SetPeers(backups, aPass.Now()), aPass);
}

void LedgerSystem::Tick(NodePass& aPass)
{
  Take(mParts.mRegisters.Tick(aPass.Now(), aPass.Wall()), aPass);
  Take(mParts.mClaims.Tick(aPass.Now(), aPass.Wall()), aPass);
  Take(mParts.mUsage.Tick(aPass.Now()), aPass);
}

void LedgerSystem::Submit(const std::vector<RegisterRequest>& aRequests, NodePass& aPass)
{
  for (const auto& it : aRequests) {
    Take(mParts.mRegisters.Submit(it, aPass.Now()), aPass);
  }
}

} // namespace skylarkchute
