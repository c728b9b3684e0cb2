#pragma once

#include "../parts/BundleHead.h"
#include "../watch/PrefixWatch.h"
#include "TrackedRoll.h"

#include <memory>
#include <vector>

namespace skylarkchute {

/** Tracks the rolls of the bundle in force and advances them stage by stage.

    Every instance runs one driver. It watches all roll objects with one long-polling call and
    reports the traffic share of each roll to the router. Rendezvous hashing ranks the instances for
    each roll, and each waits longer than the one ranked before it, so usually only the first one
    writes a step. Every step is a conditional update of the roll object, so instances that write
    at the same time, or one that resumes after a pause, cannot corrupt the roll.

    Performs no I/O, starts no threads and reads no clocks. Wall times are stored in the roll
    objects; the instances' clocks should agree to within a small fraction of the hold times. */
class RollDriver
{
public:
  explicit RollDriver(const RollDriverOptions& aOptions);

  /** Tracks the rolls of a bundle instead. A roll with the same origin keeps its state. */
  RollDriverOutput ApplyBundle(const Bundle& aBundle,
                               const BundleHead& aHead,
                               TimePoint aNow,
                               WallTime aWallNow);

  /** Replaces the list of live instances, this one included. */
  void ApplyMembers(const std::vector<InstanceId>& aMembers);

  /** Adds evidence from the whole fleet. Each window must be added only once. */
  void AddEvidence(const std::vector<VersionEvidence>& aEvidence);

  /** Applies a verdict on the new version of a roll. A healthy verdict must be repeated at least
      every five seconds for a stage to end. A bad verdict is final and withdraws the version on
      this instance at once. */
  RollDriverOutput ApplyVerdict(const RollName& aRoll,
                                const VersionVerdict& aVerdict,
                                TimePoint aNow,
                                WallTime aWallNow);

  /** Sets whether the endpoints for the next stage of a roll are ready. The default is true. */
  void SetNextStageReady(const RollName& aRoll, bool aNextStageReady);

  /** Applies a record received from a peer, for an instance that cannot reach the store. */
  RollDriverOutput ApplyPeerRecord(const RollRecord& aRecord, TimePoint aNow, WallTime aWallNow);

  /** Handles the reply to a call of an earlier output. */
  RollDriverOutput OnReply(const ObjectReply& aReply, TimePoint aNow, WallTime aWallNow);

  /** Processes due stage changes, retries and timeouts. Call every 10 to 100 ms. */
  RollDriverOutput Tick(TimePoint aNow, WallTime aWallNow);

  /** Returns the latest known records, for peers and the status output. */
  std::vector<RollRecord> Records() const;

  /** Returns the share of every roll of the bundle in force. */
  std::vector<RollShare> Shares() const;

private:
  TrackedRoll* Find(const RollName& aRoll);
  RollDriverOutput FinishOutput(RollDriverOutput aOutput, TimePoint aNow, WallTime aWallNow);
  void OnWatchResult(const PrefixUpdate& aUpdate, TimePoint aNow, RollDriverOutput& aOutput);
  void RankRolls();

  RollDriverOptions mOptions;
  PrefixWatch mWatch;
  std::vector<InstanceId> mMembers;
  std::vector<std::unique_ptr<TrackedRoll>> mRolls;
  std::vector<RollShare> mReportedShares;
  Generation mGeneration = 0;
  std::uint64_t mNextId = 1;
};

} // namespace skylarkchute
