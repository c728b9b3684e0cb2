#include "RollSystem.h"

namespace skylarkchute {

RollSystem::RollSystem(NodeParts& aParts) : mParts(aParts) {}

void RollSystem::ApplyBundle(EventContext& aContext)
{
  const auto& head = mParts.mFollower.Head();
  if (!head) {
    return;
  }
  ApplyOutput(
    mParts.mRolls.ApplyBundle(*mParts.mFollower.Current(), *head, aContext.Now(), aContext.Wall()),
    aContext);
}

void RollSystem::StoreReplied(const ObjectReply& aReply, EventContext& aContext)
{
  ApplyOutput(mParts.mRolls.OnReply(aReply, aContext.Now(), aContext.Wall()), aContext);
}

void RollSystem::Tick(EventContext& aContext)
{
  if (aContext.Now() >= mNextVerdictTime) {
    mNextVerdictTime = aContext.Now() + kVerdictPeriod;
    for (const auto& it : mParts.mRouter.RollVerdicts()) {
      ApplyOutput(
        mParts.mRolls.ApplyVerdict(it.mRoll, it.mVerdict, aContext.Now(), aContext.Wall()),
        aContext);
    }
  }
  ApplyOutput(mParts.mRolls.Tick(aContext.Now(), aContext.Wall()), aContext);
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

void RollSystem::ApplyOutput(const RollDriverOutput& aOutput, EventContext& aContext)
{
  aContext.AddEvents(aOutput.mEvents);
  aContext.AddCalls(CallingComponent::Rolls, aOutput.mCalls);
  if (aOutput.mSharesChanged) {
    mParts.mRouter.ApplyRolls(aOutput.mShares, aContext.Now());
  }
}

} // namespace skylarkchute
