#include "StoreRecorder.h"

#include "../events/RelayEvents.h"

#include <algorithm>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

/** The store entry of an instance that has been dead for this long is deleted. */
constexpr milliseconds kDeadInstanceTimeout{ 20000 };

/** Delay between the instances that may record a rollout step, in the order of their ranks, so that
    usually only the first one writes. */
constexpr milliseconds kRankDelay{ 500 };

/** A conditional write is not repeated before the change had time to come back from the store. */
constexpr milliseconds kWriteInterval{ 2000 };

/** A longer time between two ticks means that this process was paused and that what it knows of the
    others is out of date. */
constexpr milliseconds kPauseThreshold{ 1200 };

/** After a pause no version is completed for this long, in which this instance hears what the
   others have seen of it. Evidence reaches all instances in about 1 s. */
constexpr milliseconds kEvidenceWait{ 2000 };

constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kFirstRedirection = 300;

bool IsSuccess(unsigned aStatus)
{
  return aStatus >= kFirstSuccess && aStatus < kFirstRedirection;
}

/** Returns whether a write under a revision fails once the object has changed. The store takes
    revision zero, that of an entry without one, for no condition. */
bool IsConditional(StoreVersion aRevision)
{
  return RevisionOf(aRevision) != 0;
}

} // namespace

StoreRecorder::StoreRecorder(boost::asio::io_context& aContext,
                             const std::string& aAddress,
                             const MemberRecord& aSelf,
                             const GossipMembership& aMembers,
                             const StoreMirror& aMirror,
                             const RolloutTracker& aRollouts,
                             const EventLog& aLog)
  : mSelf(aSelf)
  , mMembers(aMembers)
  , mMirror(aMirror)
  , mRollouts(aRollouts)
  , mLog(aLog)
  , mWriter(aContext, aAddress)
{
}

void StoreRecorder::DetectPause(TimePoint aNow)
{
  if (mLastTick && aNow - *mLastTick >= kPauseThreshold) {
    mResumedAt = aNow;
  }
  mLastTick = aNow;
}

bool StoreRecorder::HasResumedWithin(milliseconds aTime, TimePoint aNow) const
{
  return mResumedAt && aNow - *mResumedAt < aTime;
}

void StoreRecorder::Tick(TimePoint aNow)
{
  DetectPause(aNow);
  AdvanceRollouts(aNow);
  if (mMembers.Role() == StoreRole::Follows) {
    Register(aNow);
    RemoveDeadInstances(aNow);
  }
}

/** Returns whether a conditional write to an object may be made now, and counts it as made. */
bool StoreRecorder::MayWrite(const std::string& aObject, TimePoint aNow)
{
  auto& next = mNextWriteAt[aObject];
  if (aNow < next) {
    return false;
  }
  next = aNow + kWriteInterval;
  return true;
}

/** Returns whether this instance may replace an entry of its name that names another process. It
    must not where the entry was its own and a process that it does not know has replaced it: that
    one started later, while this one was frozen or cut off. Both would write in turn otherwise. */
bool StoreRecorder::MayReplaceEntry(const StoreObject& aEntry)
{
  const auto entry = DecodeInstance(aEntry);
  const auto incarnation = entry ? entry->mIncarnation : std::string();
  if (!incarnation.empty() && mPredecessors.count(incarnation) == 0) {
    // In a new era the entry may be of any earlier process, as the copy of the store had it.
    mIsSucceeded = mIsSucceeded || mEntryEra == EraOf(aEntry.mRevision);
    if (!mIsSucceeded) {
      mPredecessors.insert(incarnation);
    }
  }
  return !mIsSucceeded;
}

/** Creates or replaces this instance's entry in the store unless it names this incarnation or a
    later one. Only followers have an entry: it shows instances that start, and groups that were cut
    off from each other, whom to contact. */
void StoreRecorder::Register(TimePoint aNow)
{
  const auto* known = mMirror.Find(ObjectKind::Instances, mSelf.mName);
  const auto entry = known != nullptr ? DecodeInstance(*known) : std::nullopt;
  if (entry && entry->mIncarnation == mSelf.mIncarnation) {
    mEntryEra = EraOf(known->mRevision);
    mIsSucceeded = false;
    return;
  }
  const bool mayWrite =
    known == nullptr || (IsConditional(known->mRevision) && MayReplaceEntry(*known));
  if (!mayWrite || !MayWrite("instance " + mSelf.mName, aNow)) {
    return;
  }
  const bool isNew = known == nullptr;
  const auto target = isNew ? ListTarget(ObjectKind::Instances, {})
                            : ObjectTarget(ObjectKind::Instances, mSelf.mName);
  const auto era = isNew ? mMirror.Era() : EraOf(known->mRevision);
  mWriter.Write(
    isNew ? "POST" : "PUT",
    target,
    EncodeInstance(mSelf, isNew ? 0 : known->mRevision),
    [this, era](const CallResult& aResult) {
      if (aResult.mHasResponse && IsSuccess(aResult.mStatus)) {
        // The change may come back from the store only after a successor has replaced it.
        mEntryEra = era;
      }
      mLog.Write({ &kStoreWrite,
                   { { "object", "instance" }, { "status", std::to_string(aResult.mStatus) } } });
    });
}

/** Returns this instance's place among those that may write for a key: the followers that the store
    serves, or all if there are none. */
std::size_t StoreRecorder::RankFor(const std::string& aKey) const
{
  const auto live = mMembers.LiveMembers();
  const auto follows = [](const MemberUpdate* aMember) {
    return aMember->mRole == StoreRole::Follows && aMember->mState == MemberState::Alive;
  };
  const bool isFollowing = mMembers.Role() == StoreRole::Follows;
  const bool haveFollowers = isFollowing || std::any_of(live.begin(), live.end(), follows);
  std::vector<InstanceId> members;
  for (const auto* it : live) {
    if (!haveFollowers || follows(it)) {
      members.emplace_back(it->mRecord.mName);
    }
  }
  const InstanceId self(mSelf.mName);
  if (!haveFollowers || isFollowing) {
    members.push_back(self);
  }
  const auto order = RendezvousOrder(aKey, members, members.size());
  return static_cast<std::size_t>(std::find(order.begin(), order.end(), self) - order.begin());
}

void StoreRecorder::RemoveDeadInstances(TimePoint aNow)
{
  // A pause of this process is no time in which an instance was seen to stay away.
  if (HasResumedWithin(kDeadInstanceTimeout, aNow)) {
    return;
  }
  for (const auto& it : mMirror.Snapshot(ObjectKind::Instances).mObjects) {
    const auto& name = it.mName;
    if (!IsConditional(it.mRevision) || !mMembers.IsDeadFor(name, kDeadInstanceTimeout, aNow) ||
        RankFor("remove " + name) != 0 || !MayWrite("instance " + name, aNow)) {
      continue;
    }
    mWriter.Write("DELETE",
                  DeleteTarget(ObjectKind::Instances, name, it.mRevision),
                  {},
                  [this, name](const CallResult& aResult) {
                    mLog.Write({ &kStoreWrite,
                                 { { "object", "dead instance " + name },
                                   { "status", std::to_string(aResult.mStatus) } } });
                  });
  }
}

void StoreRecorder::AdvanceRollouts(TimePoint aNow)
{
  for (const auto& it : mRollouts.Services()) {
    const auto step = mRollouts.NextStep(it, aNow);
    if (step == RolloutStep::None || !IsConditional(mRollouts.Order(it)->mRevision)) {
      mStepSince.erase(it);
      continue;
    }
    if (step == RolloutStep::Complete && HasResumedWithin(kEvidenceWait, aNow)) {
      continue;
    }
    const auto* order = mRollouts.Order(it);
    const auto since = mStepSince.try_emplace(it, aNow).first->second;
    const auto rank = static_cast<std::int64_t>(RankFor("rollout " + it.Value()));
    // An instance of a higher rank writes only if those before it have not recorded the step.
    if (aNow - since < kRankDelay * rank || !MayWrite("rollout " + it.Value(), aNow)) {
      continue;
    }
    const auto state =
      step == RolloutStep::Complete ? RolloutState::Completed : RolloutState::RolledBack;
    const auto service = it.Value();
    mWriter.Write("PUT",
                  StatusTarget(ObjectKind::Rollouts, service),
                  EncodeRolloutStatus(*order, state),
                  [this, service](const CallResult& aResult) {
                    mLog.Write({ &kStoreWrite,
                                 { { "object", "rollout " + service },
                                   { "status", std::to_string(aResult.mStatus) } } });
                  });
  }
}

} // namespace skylarkchute
