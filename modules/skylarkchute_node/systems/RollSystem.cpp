#include "RollSystem.h"

namespace skylarkchute {

RollSystem::RollSystem(NodeParts& aParts) : mParts(aParts) {}

void RollSystem::ApplyBundle(NodePass& aPass)
{
  const auto& head = mParts.mFollower.Head();
  if (!head) {
    return;
  }
  Take(mParts.mRolls.ApplyBundle(*mParts.mFollower.Current(), *head, aPass.Now(), aPass.Wall()),
       aPass);
}

void RollSystem::StoreReplied(const ObjectReply& aReply, NodePass& aPass)
{
  Take(mParts.mRolls.OnReply(aReply, aPass.Now(), aPass.Wall()), aPass);
}

void RollSystem::Tick(NodePass& aPass)
{
  if (aPass.Now() >= mNextVerdicts) {
    mNextVerdicts = aPass.Now() + kVerdictPeriod;
    for (const auto& it : mParts.mRouter.RollVerdicts()) {
      Take(mParts.mRolls.ApplyVerdict(it.mRoll, it.mVerdict, aPass.Now(), aPass.Wall()), aPass);
    }
  }
  Take(mParts.mRolls.Tick(aPass.Now(), aPass.Wall()), aPass);
}

Json::Value RollSystem::StatusJson() const
{
  Json::Value rolls(Json::arrayValue);
  const auto records = mParts.mRolls.Records();
  for (const auto& share : mParts.mRolls.Shares()) {
    Json::Value roll(Json::objectValue);
    roll["name"] = share.mRoll.Value();
    roll["percent"] = share.mPercent;
    roll["withdrawn"] = share.mWithdrawn;
    for (const auto& it : records) {
      if (it.mName == share.mRoll) {
        roll["to"] = it.mTo.Value();
        roll["from"] = it.mFrom.Value();
        roll["reason"] = it.mReason;
        roll["phase"] = RollPhaseName(it.mPhase);
        roll["evidence"] = Json::UInt64(it.mEvidence.mRequests);
      }
    }
    rolls.append(roll);
  }
  return rolls;
}

void RollSystem::Take(const RollDriverOutput& aOutput, NodePass& aPass)
{
  aPass.AddEvents(aOutput.mEvents);
  aPass.AddCalls(StoreUser::Rolls, aOutput.mCalls);
  if (aOutput.mSharesChanged) {
    mParts.mRouter.ApplyRolls(aOutput.mShares, aPass.Now());
  }
}

} // namespace skylarkchute
