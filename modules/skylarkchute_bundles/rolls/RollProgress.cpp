#include "RollProgress.h"

#include <algorithm>
#include <cassert>

namespace skylarkchute {

namespace {

RollRecord WithChangedBy(RollRecord aRecord, const RollObservation& aObservation)
{
  aRecord.mChangedBy = aObservation.mSelf;
  aRecord.mChangedAt = aObservation.mWallNow;
  return aRecord;
}

RollRecord FirstRecord(const RollPlan& aPlan,
                       Generation aSince,
                       const RollObservation& aObservation)
{
  RollRecord record;
  record.mName = aPlan.mName;
  record.mSince = aSince;
  record.mFrom = aPlan.mFrom;
  record.mTo = aPlan.mTo;
  record.mStageSince = aObservation.mWallNow;
  return WithChangedBy(std::move(record), aObservation);
}

RollRecord WithdrawnRecord(RollRecord aRecord, const RollObservation& aObservation)
{
  aRecord.mPhase = RollPhase::Withdrawn;
  aRecord.mReason = aObservation.mVerdict.mReason;
  aRecord.mEvidence = aObservation.mEvidence;
  aRecord.mAuditGeneration = aObservation.mGeneration;
  return WithChangedBy(std::move(aRecord), aObservation);
}

bool MayEndStage(const RollPlan& aPlan,
                 const RollRecord& aRecord,
                 const RollObservation& aObservation)
{
  return aObservation.mVerdict.mHealth == VersionCondition::Healthy &&
         aObservation.mNextStageReady && aObservation.mEvidence.mRequests >= aPlan.mEvidence &&
         aObservation.mWallNow - aRecord.mStageSince >= aPlan.mHold;
}

RollRecord RecordAfterStage(const RollPlan& aPlan,
                            RollRecord aRecord,
                            const RollObservation& aObservation)
{
  if (aRecord.mStage + 1 >= aPlan.mStagePercents.size()) {
    aRecord.mPhase = RollPhase::Finished;
    aRecord.mEvidence = aObservation.mEvidence;
    return WithChangedBy(std::move(aRecord), aObservation);
  }
  ++aRecord.mStage;
  aRecord.mStageSince = aObservation.mWallNow;
  aRecord.mEvidence = {};
  return WithChangedBy(std::move(aRecord), aObservation);
}

} // namespace

std::optional<RollRecord> NextRecord(const RollPlan& aPlan,
                                     Generation aSince,
                                     const std::optional<RollRecord>& aRecord,
                                     const RollObservation& aObservation)
{
  const auto isBad = aObservation.mVerdict.mHealth == VersionCondition::Bad;
  if (!aRecord) {
    auto first = FirstRecord(aPlan, aSince, aObservation);
    return isBad ? WithdrawnRecord(std::move(first), aObservation) : std::move(first);
  }
  if (aRecord->mPhase == RollPhase::Withdrawn) {
    return std::nullopt;
  }
  if (isBad) {
    return WithdrawnRecord(*aRecord, aObservation);
  }
  if (aRecord->mPhase == RollPhase::Running && MayEndStage(aPlan, *aRecord, aObservation)) {
    return RecordAfterStage(aPlan, *aRecord, aObservation);
  }
  return std::nullopt;
}

RollShare ShareOf(const RollPlan& aPlan, const std::optional<RollRecord>& aRecord)
{
  constexpr double kMaxPercent = 100;
  assert(!aPlan.mStagePercents.empty());
  RollShare share;
  share.mRoll = aPlan.mName;
  if (!aRecord) {
    return share;
  }
  share.mWithdrawn = aRecord->mPhase == RollPhase::Withdrawn;
  if (aRecord->mPhase == RollPhase::Finished) {
    share.mPercent = kMaxPercent;
  }
  if (aRecord->mPhase == RollPhase::Running) {
    const auto last = aPlan.mStagePercents.size() - 1;
    share.mPercent = aPlan.mStagePercents[std::min<std::size_t>(aRecord->mStage, last)];
  }
  return share;
}

} // namespace skylarkchute
