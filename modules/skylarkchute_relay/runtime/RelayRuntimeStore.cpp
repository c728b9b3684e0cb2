#include "RelayRuntime.h"

#include "../events/RelayEvents.h"

#include <algorithm>
#include <limits>

namespace skylarkchute {

namespace {

TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

/** Makes the watchers catch up when the store falls silent, since what it should have answered
    meanwhile may be lost, and again once it answers: a call that was made in between is never
    answered either. */
void RelayRuntime::UpdateStoreSilence(TimePoint aNow)
{
  const bool isSilent = mStoreProbe.IsSilent(aNow);
  if (std::exchange(mIsStoreSilent, isSilent) == isSilent) {
    return;
  }
  if (isSilent && mFailedKinds.empty()) {
    mLog.Write({ &kStoreLost, { { "kind", "all" }, { "reason", "silent" } } });
  }
  for (const auto& it : mWatchers) {
    const bool hasFailed = mFailedKinds.count(it->Kind()) > 0;
    if (isSilent) {
      mFailedKinds.insert(it->Kind());
    }
    if (hasFailed != isSilent) {
      it->Refresh();
    }
  }
}

/** Makes the watchers catch up that know an earlier era than the store's: a waiting watch may not
    have been cut off when the store was restored. */
void RelayRuntime::CatchUpWithEra()
{
  const auto era = mStoreProbe.Era();
  if (era <= mCatchUpEra) {
    return;
  }
  mCatchUpEra = era;
  for (const auto& it : mWatchers) {
    if (EraOf(mMirror.AsOf(it->Kind())) < era) {
      it->Refresh();
    }
  }
}

/** Returns the state of the store up to which all kinds are known. */
StoreVersion RelayRuntime::KnownState() const
{
  auto state = std::numeric_limits<StoreVersion>::max();
  for (const auto& it : mWatchers) {
    state = std::min(state, mMirror.AsOf(it->Kind()));
  }
  return state;
}

/** Makes the watchers catch up that may have missed changes: the answer to a watch may be lost in a
    silence that is too short for the probe to notice. */
void RelayRuntime::CatchUpWithMissedChanges(TimePoint aNow)
{
  mMissedChanges.OnStoreState(mStoreProbe.State());
  const auto missed = mMissedChanges.TakeMissed(aNow);
  if (!missed) {
    return;
  }
  mLog.Write({ &kStoreChangesMissed, { { "state", std::to_string(RevisionOf(*missed)) } } });
  mMetrics.Add("skylarkchute_store_catch_ups_total", "");
  for (const auto& it : mWatchers) {
    if (mMirror.AsOf(it->Kind()) < *missed) {
      it->CatchUp();
    }
  }
}

/** Logs that the store was restored once a kind is known in the new era. */
void RelayRuntime::LogNewEra()
{
  if (!mMirror.IsKnown(ObjectKind::Config)) {
    return;
  }
  const auto era = mMirror.Era();
  const auto known = std::exchange(mLoggedEra, era);
  if (known && *known != era) {
    mLog.Write(
      { &kStoreRestored, { { "from", std::to_string(*known) }, { "to", std::to_string(era) } } });
  }
}

/** Starts or stops watching the store as mFollowing decides. */
void RelayRuntime::UpdateStoreRole(TimePoint aNow)
{
  mMissedChanges.OnKnownUpTo(KnownState());
  const bool wasFollowing = mMesh.Members().Role() != StoreRole::None;
  const bool isListed = mServedKinds.size() == mWatchers.size();
  const bool isServed = mFailedKinds.empty() && isListed && !mStoreProbe.IsSilent(aNow);
  if (wasFollowing && (isListed || !mFailedKinds.empty())) {
    mFollowing.OnStoreResult(isServed, mStoreProbe.AnsweredAt());
  }
  if (wasFollowing && isListed) {
    UpdateStoreSilence(aNow);
    CatchUpWithEra();
    CatchUpWithMissedChanges(aNow);
  }
  const auto role = mFollowing.Decide(mMesh.Members().LiveMembers(), aNow);
  mMesh.Members().SetRole(role);
  const bool isFollowing = role != StoreRole::None;
  if (isFollowing == wasFollowing) {
    return;
  }
  mLog.Write({ isFollowing ? &kStoreFollowed : &kStoreNotFollowed, {} });
  mFailedKinds.clear();
  mServedKinds.clear();
  mIsStoreSilent = false;
  mCatchUpEra = mMirror.Era();
  mStoreProbe.Stop();
  for (const auto& it : mWatchers) {
    if (isFollowing) {
      it->Restart();
    } else {
      it->Stop();
    }
  }
}

void RelayRuntime::OnStoreSuccess(ObjectKind aKind)
{
  StopHoldingIfStateKnown();
  mServedKinds.insert(aKind);
  mStoreProbe.OnAnswer(Now());
  const bool hadFailed = mFailedKinds.erase(aKind) > 0;
  SpreadChanges(ChangeSpread::Source::Store);
  if (!hadFailed) {
    return;
  }
  if (mFailedKinds.empty()) {
    mLog.Write({ &kStoreRegained, {} });
    return;
  }
  for (const auto& it : mWatchers) {
    it->RetryNow();
  }
}

void RelayRuntime::OnStoreChange(StoreVersion aRevision)
{
  mMissedChanges.OnChange(aRevision);
}

void RelayRuntime::OnObject(ObjectKind aKind, const StoreObject& aObject)
{
  // A removal is known by the state in which the object was missing, not by its own revision.
  if (!aObject.mIsDeleted) {
    mMissedChanges.OnChange(aObject.mRevision);
  }
  mSync.OnObject(aKind, aObject);
}

void RelayRuntime::OnStoreFailure(ObjectKind aKind, const std::string& aReason)
{
  if (mFailedKinds.empty()) {
    mLog.Write(
      { &kStoreLost, { { "kind", std::string(KindName(aKind)) }, { "reason", aReason } } });
  }
  mFailedKinds.insert(aKind);
}

bool RelayRuntime::MayRetry(ObjectKind aKind) const
{
  return mFailedKinds.empty() || *mFailedKinds.begin() == aKind;
}

/** A list that this instance gets when no follower has been served for a while may lack entries
   that expired in an outage. */
ListOrigin RelayRuntime::OriginOfList() const
{
  const auto age = mFollowing.ConfirmationAge(Now());
  return age && *age >= StoreWatcher::kOutageAge ? ListOrigin::AfterOutage : ListOrigin::Normal;
}

} // namespace skylarkchute
