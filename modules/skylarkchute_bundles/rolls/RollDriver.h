#pragma once

#include "../parts/BundleHead.h"
#include "../watch/PrefixWatch.h"
#include "TrackedRoll.h"

#include <memory>
#include <vector>

namespace skylarkchute {

/** Follows the rolls of the bundle in force and moves them on.

    Every instance runs one. All of them see each roll object through one waiting watch and give the
    router its shares. For each roll the instances have an order, by rendezvous hashing, in which
    they try the next step, so that usually only the first one writes; every step is a conditional
    update of the roll object, so that several at once, or one that was paused, do no harm.

    Free of I/O, threads and clocks. Wall times are written to the roll objects; the instances'
    clocks should agree within a small part of the hold times. */
class RollDriver
{
public:
  explicit RollDriver(const RollDriverOptions& aOptions);

  /** Puts the rolls of a bundle in force; a roll of unchanged origin keeps its state. */
  RollDriverOutput ApplyBundle(const Bundle& aBundle,
                               const BundleHead& aHead,
                               TimePoint aNow,
                               WallTime aWallNow);

  /** Replaces the list of live instances, this one included. */
  void ApplyMembers(const std::vector<InstanceId>& aMembers);

  /** Adds evidence of the whole fleet; each window once. */
  void AddEvidence(const std::vector<VersionEvidence>& aEvidence);

  /** Takes in a verdict on the new version of a roll. A healthy one must be repeated at least every
      five seconds to end a stage; a bad one withdraws on this instance at once and stays. */
  RollDriverOutput ApplyVerdict(const RollName& aRoll,
                                const VersionVerdict& aVerdict,
                                TimePoint aNow,
                                WallTime aWallNow);

  /** Says whether the endpoints for the next stage of a roll are ready; they are by default. */
  void SetMayAdvance(const RollName& aRoll, bool aMayAdvance);

  /** Takes in a record that a peer knows, for an instance that cannot reach the store. */
  RollDriverOutput ApplyPeerRecord(const RollRecord& aRecord, TimePoint aNow, WallTime aWallNow);

  /** Takes in the reply to a call of an earlier output. */
  RollDriverOutput OnReply(const ObjectReply& aReply, TimePoint aNow, WallTime aWallNow);

  /** Drives stages, retries and time limits. Call every 10 to 100 ms. */
  RollDriverOutput Tick(TimePoint aNow, WallTime aWallNow);

  /** Returns the latest records known, for peers and for status. */
  std::vector<RollRecord> Records() const;

  /** Returns the share of every roll of the bundle in force. */
  std::vector<RollShare> Shares() const;

private:
  TrackedRoll* Find(const RollName& aRoll);
  RollDriverOutput Leave(RollDriverOutput aOutput, TimePoint aNow, WallTime aWallNow);
  void TakeSighting(const PrefixSighting& aSighting, TimePoint aNow, RollDriverOutput& aOutput);
  void RankRolls();

  RollDriverOptions mOptions;
  PrefixWatch mWatch;
  std::vector<InstanceId> mMembers;
  std::vector<std::unique_ptr<TrackedRoll>> mRolls;
  std::vector<RollShare> mGivenShares;
  Generation mGeneration = 0;
  std::uint64_t mNextId = 1;
};

} // namespace skylarkchute
