#pragma once

#include "../watch/RetryDelay.h"
#include "RollDriverOptions.h"
#include "RollDriverOutput.h"
#include "RollProgress.h"

#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** The state of one roll on one instance: the stored record, the latest known record, the evidence
    and the pending call. */
class TrackedRoll
{
public:
  /** Number of instances that get a rank for a roll. The others wait longer, spread over a range of
      delays. */
  static constexpr std::size_t kRankedDrivers = 3;

  TrackedRoll(const RollDriverOptions& aOptions, const RollPlan& aPlan, Generation aSince);

  /** Returns the key of the roll object. */
  const std::string& Key() const { return mKey; }
  const RollPlan& Plan() const { return mPlan; }
  Generation Since() const { return mSince; }

  /** Returns the latest known record, from the store or a peer. */
  const std::optional<RollRecord>& Record() const { return mLatest; }

  /** Returns the share of the new version. A bad verdict of this instance withdraws it at once,
      before the withdrawal is stored. */
  RollShare Share() const;

  /** Applies the state of the roll object in the store.
      @param aEntry  empty if the object does not exist */
  void ApplyStored(const std::optional<ObjectEntry>& aEntry,
                   TimePoint aNow,
                   RollDriverOutput& aOutput);

  /** Applies a record received from a peer. */
  void ApplyPeerRecord(const RollRecord& aRecord, RollDriverOutput& aOutput);

  /** Adds evidence about the new version. Evidence of other versions is ignored, and so is any that
      arrives before the roll has a record. */
  void AddEvidence(const VersionEvidence& aEvidence);

  /** Applies a verdict. A bad verdict is final. */
  void ApplyVerdict(const VersionVerdict& aVerdict, TimePoint aNow);

  /** Sets the rank of this instance among the drivers of the roll: 0 for the first, kRankedDrivers
      or more if unranked. */
  void SetRank(std::size_t aRank) { mRank = aRank; }

  /** Sets whether the endpoints for the next stage are ready; until then the stage does not end. */
  void SetNextStageReady(bool aNextStageReady) { mNextStageReady = aNextStageReady; }

  /** Appends the call that is due, if any, to @p aOutput.
      @param aGeneration  the generation in force on this instance
      @param aNextId      the id of the next call; incremented for each call */
  void Poll(Generation aGeneration,
            TimePoint aNow,
            WallTime aWallNow,
            std::uint64_t& aNextId,
            RollDriverOutput& aOutput);

  /** Handles a reply if it belongs to the pending call. @returns whether it did */
  bool OnReply(const ObjectReply& aReply, TimePoint aNow, RollDriverOutput& aOutput);

private:
  enum class CallKind
  {
    Read,
    Write,
    Audit,
  };

  struct PendingCall
  {
    std::uint64_t mId = 0;
    CallKind mKind = CallKind::Read;
    RollRecord mWanted;
    TimePoint mDeadline;
  };

  EvidenceTotals Evidence() const;
  RollObservation Observe(Generation aGeneration, TimePoint aNow, WallTime aWallNow) const;
  std::optional<RollRecord> WantedRecord(const RollObservation& aObservation, TimePoint aNow) const;
  bool HasTakeoverDelayPassed(const RollRecord& aWanted, TimePoint aNow);
  void Adopt(const RollRecord& aRecord, RollDriverOutput& aOutput);
  void Send(CallKind aKind,
            ObjectOperation aOperation,
            RollRecord aWanted,
            TimePoint aNow,
            std::uint64_t& aNextId,
            RollDriverOutput& aOutput);
  void OnReadReply(const ObjectReply& aReply, TimePoint aNow, RollDriverOutput& aOutput);
  void OnWriteReply(const ObjectReply& aReply,
                    const RollRecord& aWanted,
                    TimePoint aNow,
                    RollDriverOutput& aOutput);
  void OnAuditReply(const ObjectReply& aReply, TimePoint aNow);
  bool NeedsAudit() const;

  RollDriverOptions mOptions;
  RollPlan mPlan;
  Generation mSince = 0;
  std::string mKey;
  RetryDelay mDelay;

  std::optional<RollRecord> mLatest;
  std::optional<RollRecord> mStored;
  std::optional<ObjectVersion> mStoredVersion;
  bool mStoreRead = false;  /**< The store was read at least once. */
  bool mUnreadable = false; /**< The stored object is invalid; it is not overwritten. */
  bool mMustRead = true;
  bool mAuditWritten = false;

  EvidenceTotals mRecordedEvidence; /**< Evidence in mLatest when it was adopted. */
  EvidenceTotals mAddedEvidence;    /**< Evidence received since then. */
  VersionVerdict mVerdict;
  TimePoint mVerdictAt;
  bool mNextStageReady = true;
  std::size_t mRank = kRankedDrivers;

  std::optional<PendingCall> mCall;
  std::optional<TimePoint> mDueSince; /**< When the wanted write became due. */
  TimePoint mNextAt;                  /**< No call is made before this time. */
  TimePoint mCheckpointAt;            /**< When grown evidence is written next. */
};

} // namespace skylarkchute
