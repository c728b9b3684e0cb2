#pragma once

#include "../store/StoreMirror.h"
#include "../store/StoreWriter.h"

#include <skylarkchute_peers/membership/GossipMembership.h>
#include <skylarkchute_routing/fleet/Fleet.h>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace skylarkchute {

/** Decides which conditional writes this instance makes to the store: its own entry, the removal of
    dead instances' entries, and the steps of rollouts. Several instances may decide the same; the
    conditions make that harmless. */
class StoreRecorder
{
public:
  StoreRecorder(boost::asio::io_context& aContext,
                const std::string& aAddress,
                const MemberRecord& aSelf,
                const GossipMembership& aMembers,
                const StoreMirror& aMirror,
                const RolloutTracker& aRollouts,
                const EventLog& aLog);

  /** Makes the writes that are due. To be called every few hundred milliseconds. */
  void Tick(TimePoint aNow);

private:
  void DetectPause(TimePoint aNow);
  bool HasResumedWithin(std::chrono::milliseconds aTime, TimePoint aNow) const;
  bool MayWrite(const std::string& aObject, TimePoint aNow);
  std::size_t RankFor(const std::string& aKey) const;
  bool MayReplaceEntry(const StoreObject& aEntry);
  void Register(TimePoint aNow);
  void RemoveDeadInstances(TimePoint aNow);
  void AdvanceRollouts(TimePoint aNow);

  const MemberRecord& mSelf;
  const GossipMembership& mMembers;
  const StoreMirror& mMirror;
  const RolloutTracker& mRollouts;
  const EventLog& mLog;
  StoreWriter mWriter;
  std::optional<TimePoint> mLastTick;
  std::optional<TimePoint> mResumedAt;           /**< End of the last pause of this process. */
  std::set<std::string> mPredecessors;           /**< Incarnations in this instance's entry before
                                                    its own. */
  std::optional<std::uint64_t> mEntryEra;        /**< Era of the store in which it had its entry. */
  bool mIsSucceeded = false;                     /**< A later process has this instance's entry. */
  std::map<std::string, TimePoint> mNextWriteAt; /**< By object. */
  std::map<ServiceName, TimePoint> mStepSince;   /**< When a rollout's next step became due. */
};

} // namespace skylarkchute
