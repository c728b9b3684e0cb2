#pragma once

#include "../watch/RetryDelay.h"
#include "RollDriverOptions.h"
#include "RollDriverOutput.h"
#include "RollProgress.h"

#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** One roll as one instance sees it: the record in the store, the latest record known, the
    evidence, and the write that is under way. */
class TrackedRoll
{
public:
  /** Instances that have a place in the order of a roll's drivers; the others come last. */
  static constexpr std::size_t kRankedDrivers = 3;

  TrackedRoll(const RollDriverOptions& aOptions, const RollPlan& aPlan, Generation aSince);

  /** Returns the key of the roll object. */
  const std::string& Key() const { return mKey; }
  const RollPlan& Plan() const { return mPlan; }
  Generation Since() const { return mSince; }

  /** Returns the latest record known, from the store or a peer. */
  const std::optional<RollRecord>& Record() const { return mLatest; }

  /** Returns the share; a bad verdict of this instance withdraws at once. */
  RollShare Share() const;

  /** Takes in the object from the store, or that it is absent. */
  void TakeStored(const std::optional<ObjectEntry>& aEntry,
                  TimePoint aNow,
                  RollDriverOutput& aOutput);

  /** Takes in a record that a peer knows. */
  void TakePeerRecord(const RollRecord& aRecord, RollDriverOutput& aOutput);

  /** Adds evidence of the new version. */
  void AddEvidence(const VersionEvidence& aEvidence);

  /** Takes in a verdict; a bad one stays. */
  void TakeVerdict(const VersionVerdict& aVerdict, TimePoint aNow);

  /** Sets the place of this instance among the drivers of the roll, 0 for the first. */
  void SetRank(std::size_t aRank) { mRank = aRank; }

  /** Sets whether a stage may end. */
  void SetMayAdvance(bool aMayAdvance) { mMayAdvance = aMayAdvance; }

  /** Adds the call that is due, if any.
      @param aGeneration  in force on this instance
      @param aNextId      counts call ids */
  void Poll(Generation aGeneration,
            TimePoint aNow,
            WallTime aWallNow,
            std::uint64_t& aNextId,
            RollDriverOutput& aOutput);

  /** Takes in a reply; returns whether it was for this roll. */
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
  bool MayAct(const RollRecord& aWanted, TimePoint aNow);
  void Adopt(const RollRecord& aRecord, RollDriverOutput& aOutput);
  void Send(CallKind aKind,
            ObjectOperation aOperation,
            RollRecord aWanted,
            TimePoint aNow,
            std::uint64_t& aNextId,
            RollDriverOutput& aOutput);
  void TakeReadReply(const ObjectReply& aReply, TimePoint aNow, RollDriverOutput& aOutput);
  void TakeWriteReply(const ObjectReply& aReply,
                      const RollRecord& aWanted,
                      TimePoint aNow,
                      RollDriverOutput& aOutput);
  void TakeAuditReply(const ObjectReply& aReply, TimePoint aNow);
  bool OwesAudit() const;

  RollDriverOptions mOptions;
  RollPlan mPlan;
  Generation mSince = 0;
  std::string mKey;
  RetryDelay mDelay;

  std::optional<RollRecord> mLatest;
  std::optional<RollRecord> mStored;
  std::optional<ObjectVersion> mStoredVersion;
  bool mStoreRead = false;  /**< mStored is what the store held when last seen. */
  bool mUnreadable = false; /**< The stored object is damaged; it is left alone. */
  bool mMustRead = true;
  bool mAuditWritten = false;

  EvidenceTotals mEvidenceBefore; /**< Of the stage, in the record when it was first seen. */
  EvidenceTotals mEvidenceSince;  /**< Added to this instance since. */
  VersionVerdict mVerdict;
  TimePoint mVerdictAt;
  bool mMayAdvance = true;
  std::size_t mRank = kRankedDrivers;

  std::optional<PendingCall> mCall;
  std::optional<TimePoint> mDueSince;
  TimePoint mNextAt;
  TimePoint mCheckpointAt;
};

} // namespace skylarkchute
