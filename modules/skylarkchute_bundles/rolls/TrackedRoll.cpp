#include "TrackedRoll.h"

#include "../events/BundleEvents.h"
#include "../lifecycle/AuditRecord.h"
#include "../lifecycle/ObjectKeys.h"

namespace skylarkchute {

namespace {

/** The pending call is dropped after this many times mCallTimeout. The code that executes the call
    applies mCallTimeout itself; this longer limit covers a reply that never arrives. */
constexpr int kDeadlineFactor = 2;
/** Unranked instances add an extra wait of up to this many takeover delays, so that they do not all
    write at once. */
constexpr int kUnrankedSpreadFactor = 20;

const EventDescription& EventOf(const RollRecord& aRecord)
{
  switch (aRecord.mPhase) {
    case RollPhase::Running:
      return kRollStageAdvanced;
    case RollPhase::Finished:
      return kRollFinished;
    case RollPhase::Withdrawn:
      return kRollWithdrawn;
  }
  return kRollWithdrawn;
}

} // namespace

TrackedRoll::TrackedRoll(const RollDriverOptions& aOptions,
                         const RollPlan& aPlan,
                         Generation aSince)
  : mOptions(aOptions)
  , mPlan(aPlan)
  , mSince(aSince)
  , mKey(RollKey(aSince, aPlan.mName))
  , mDelay(aOptions.mMinRetryDelay, aOptions.mMaxRetryDelay, StableHash(mKey, aOptions.mSeed))
{
}

RollShare TrackedRoll::Share() const
{
  auto share = ShareOf(mPlan, mLatest);
  if (mVerdict.mHealth == VersionCondition::Bad) {
    share.mWithdrawn = true;
    share.mPercent = 0;
  }
  return share;
}

void TrackedRoll::ApplyStored(const std::optional<ObjectEntry>& aEntry,
                              TimePoint aNow,
                              RollDriverOutput& aOutput)
{
  mStoreRead = true;
  mMustRead = false;
  mStored.reset();
  mStoredVersion.reset();
  mUnreadable = false;
  if (!aEntry || aEntry->mDeleted) {
    return;
  }
  mStoredVersion = aEntry->mVersion;
  auto record = ReadRollRecord(aEntry->mBody);
  if (!record || record->mSince != mSince || record->mName != mPlan.mName) {
    mUnreadable = true;
    aOutput.mEvents.push_back({ &kRollUnreadable, { { "key", mKey } } });
    return;
  }
  mStored = *record;
  mCheckpointAt = aNow + mOptions.mCheckpointInterval;
  Adopt(*record, aOutput);
}

void TrackedRoll::ApplyPeerRecord(const RollRecord& aRecord, RollDriverOutput& aOutput)
{
  if (aRecord.mSince == mSince && aRecord.mName == mPlan.mName) {
    Adopt(aRecord, aOutput);
  }
}

void TrackedRoll::Adopt(const RollRecord& aRecord, RollDriverOutput& aOutput)
{
  if (mLatest && !aRecord.IsLaterThan(*mLatest)) {
    return;
  }
  mRecordedEvidence = aRecord.mEvidence;
  mAddedEvidence = {};
  mDueSince.reset();
  mLatest = aRecord;
  aOutput.mEvents.push_back({ &EventOf(aRecord),
                              { { "roll", mPlan.mName.Value() },
                                { "version", mPlan.mTo.Value() },
                                { "stage", std::to_string(aRecord.mStage + 1) },
                                { "changed-by", aRecord.mChangedBy.Value() },
                                { "reason", aRecord.mReason } } });
}

void TrackedRoll::AddEvidence(const VersionEvidence& aEvidence)
{
  if (aEvidence.mVersion == mPlan.mTo && mLatest) {
    mAddedEvidence.Add(aEvidence);
  }
}

void TrackedRoll::ApplyVerdict(const VersionVerdict& aVerdict, TimePoint aNow)
{
  if (mVerdict.mHealth == VersionCondition::Bad) {
    return;
  }
  mVerdict = aVerdict;
  mVerdictAt = aNow;
  if (aVerdict.mHealth == VersionCondition::Bad) {
    mDueSince.reset();
  }
}

EvidenceTotals TrackedRoll::Evidence() const
{
  // Drivers receive evidence of the same requests, so the larger total is used, not their sum.
  auto own = mRecordedEvidence;
  own.Add(mAddedEvidence);
  const auto sameStage = mStored && mLatest && mStored->mStage == mLatest->mStage;
  return sameStage && mStored->mEvidence.mRequests > own.mRequests ? mStored->mEvidence : own;
}

RollObservation TrackedRoll::Observe(Generation aGeneration,
                                     TimePoint aNow,
                                     WallTime aWallNow) const
{
  RollObservation observation;
  observation.mEvidence = Evidence();
  observation.mVerdict = mVerdict;
  const auto fresh = aNow - mVerdictAt <= mOptions.mMaxVerdictAge;
  if (mVerdict.mHealth == VersionCondition::Healthy && !fresh) {
    observation.mVerdict.mHealth = VersionCondition::Undecided;
  }
  observation.mNextStageReady = mNextStageReady;
  observation.mSelf = mOptions.mSelf;
  observation.mGeneration = aGeneration;
  observation.mWallNow = aWallNow;
  return observation;
}

std::optional<RollRecord> TrackedRoll::WantedRecord(const RollObservation& aObservation,
                                                    TimePoint aNow) const
{
  if (mLatest && (!mStored || mLatest->IsLaterThan(*mStored))) {
    // The store lacks a record that this instance or a peer has.
    return mLatest;
  }
  auto next = NextRecord(mPlan, mSince, mLatest, aObservation);
  if (next) {
    return next;
  }
  const auto grown = mStored && mStored->mPhase == RollPhase::Running &&
                     aObservation.mEvidence.mRequests > mStored->mEvidence.mRequests;
  if (!grown || mRank != 0 || aNow < mCheckpointAt) {
    return std::nullopt;
  }
  auto checkpoint = *mStored;
  checkpoint.mEvidence = aObservation.mEvidence;
  return checkpoint;
}

bool TrackedRoll::HasTakeoverDelayPassed(const RollRecord& aWanted, TimePoint aNow)
{
  if (!mDueSince) {
    mDueSince = aNow;
  }
  const auto delay = aWanted.mPhase == RollPhase::Withdrawn ? mOptions.mWithdrawalTakeoverDelay
                                                            : mOptions.mTakeoverDelay;
  auto wait = delay * static_cast<std::int64_t>(mRank);
  if (mRank >= kRankedDrivers) {
    const auto spread = delay * kUnrankedSpreadFactor;
    const auto hash = StableHash(mOptions.mSelf.Value(), StableHash(mKey));
    wait += std::chrono::milliseconds(hash % static_cast<std::uint64_t>(spread.count()));
  }
  return aNow - *mDueSince >= wait;
}

bool TrackedRoll::NeedsAudit() const
{
  return !mAuditWritten && mStored && mStored->mPhase == RollPhase::Withdrawn &&
         (mRank == 0 || mStored->mChangedBy == mOptions.mSelf);
}

void TrackedRoll::Poll(Generation aGeneration,
                       TimePoint aNow,
                       WallTime aWallNow,
                       std::uint64_t& aNextId,
                       RollDriverOutput& aOutput)
{
  if (mCall && aNow >= mCall->mDeadline) {
    mCall.reset();
    mMustRead = true;
    mNextAt = aNow + mDelay.NextAfterFailure();
  }
  if (mCall || aNow < mNextAt || mUnreadable) {
    return;
  }
  if (mMustRead) {
    if (mStoreRead) {
      Send(CallKind::Read, GetObject{ mKey }, {}, aNow, aNextId, aOutput);
    }
    return;
  }
  if (NeedsAudit()) {
    const auto audit = MakeWithdrawalRecord(*mStored);
    PutObject put{ audit.Key(), WriteAuditRecord(audit), std::nullopt };
    Send(CallKind::Audit, std::move(put), {}, aNow, aNextId, aOutput);
    return;
  }
  auto wanted = WantedRecord(Observe(aGeneration, aNow, aWallNow), aNow);
  if (!wanted) {
    mDueSince.reset();
    return;
  }
  if (!HasTakeoverDelayPassed(*wanted, aNow)) {
    return;
  }
  PutObject put{ mKey, WriteRollRecord(*wanted), mStoredVersion };
  Send(CallKind::Write, std::move(put), std::move(*wanted), aNow, aNextId, aOutput);
}

void TrackedRoll::Send(CallKind aKind,
                       ObjectOperation aOperation,
                       RollRecord aWanted,
                       TimePoint aNow,
                       std::uint64_t& aNextId,
                       RollDriverOutput& aOutput)
{
  ObjectCall call;
  call.mId = aNextId++;
  call.mPurpose = aKind == CallKind::Audit ? CallPurpose::Audit : CallPurpose::Roll;
  call.mOperation = std::move(aOperation);
  call.mTimeout = mOptions.mCallTimeout;
  mCall =
    PendingCall{ call.mId, aKind, std::move(aWanted), aNow + call.mTimeout * kDeadlineFactor };
  aOutput.mCalls.push_back(std::move(call));
}

bool TrackedRoll::OnReply(const ObjectReply& aReply, TimePoint aNow, RollDriverOutput& aOutput)
{
  if (!mCall || mCall->mId != aReply.mId) {
    return false;
  }
  const auto call = std::move(*mCall);
  mCall.reset();
  switch (call.mKind) {
    case CallKind::Read:
      OnReadReply(aReply, aNow, aOutput);
      break;
    case CallKind::Write:
      OnWriteReply(aReply, call.mWanted, aNow, aOutput);
      break;
    case CallKind::Audit:
      OnAuditReply(aReply, aNow);
      break;
  }
  return true;
}

void TrackedRoll::OnReadReply(const ObjectReply& aReply, TimePoint aNow, RollDriverOutput& aOutput)
{
  if (aReply.mStatus == ObjectStatus::Ok) {
    ApplyStored(ObjectEntry{ mKey, aReply.mVersion, aReply.mBody, false }, aNow, aOutput);
  } else if (aReply.mStatus == ObjectStatus::NotFound) {
    ApplyStored(std::nullopt, aNow, aOutput);
  } else {
    mNextAt = aNow + mDelay.NextAfterFailure();
  }
}

void TrackedRoll::OnWriteReply(const ObjectReply& aReply,
                               const RollRecord& aWanted,
                               TimePoint aNow,
                               RollDriverOutput& aOutput)
{
  if (aReply.mStatus == ObjectStatus::Ok) {
    mDelay.Reset();
    ApplyStored(
      ObjectEntry{ mKey, aReply.mVersion, WriteRollRecord(aWanted), false }, aNow, aOutput);
    return;
  }
  // After a conflict or a lost reply the object is read again before the next write.
  mMustRead = aReply.mStatus == ObjectStatus::Conflict || aReply.mStatus == ObjectStatus::Unknown;
  mNextAt = aNow + mDelay.NextAfterFailure();
}

void TrackedRoll::OnAuditReply(const ObjectReply& aReply, TimePoint aNow)
{
  mAuditWritten = aReply.mStatus == ObjectStatus::Ok || aReply.mStatus == ObjectStatus::Conflict;
  if (!mAuditWritten) {
    mNextAt = aNow + mDelay.NextAfterFailure();
  }
}

} // namespace skylarkchute
