#include "StoreFollower.h"

#include "../events/RelayEvents.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace skylarkchute {

namespace {

TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

StoreFollower::StoreFollower(boost::asio::io_context& aContext,
                             const std::string& aAddress,
                             const std::vector<ObjectKind>& aKinds,
                             StoreMirror& aMirror,
                             StoreFollowerOwner& aOwner,
                             const EventLog& aLog,
                             MetricsRegistry& aMetrics,
                             const std::function<double()>& aJitter)
  : mMirror(aMirror)
  , mOwner(aOwner)
  , mLog(aLog)
  , mMetrics(aMetrics)
  , mProbe(aContext, aAddress, [this] { UpdateSilence(Now()); })
{
  for (const auto it : aKinds) {
    mWatchers.push_back(
      std::make_shared<StoreWatcher>(aContext, aAddress, it, aMirror, *this, aJitter));
  }
}

void StoreFollower::Start()
{
  Stop();
  mIsFollowing = true;
  mProbe.Start(Now());
  Relist();
  Probe();
}

void StoreFollower::Stop()
{
  mIsFollowing = false;
  mFailedKinds.clear();
  mServedKinds.clear();
  mIsSilent = false;
  mCatchUpEra = mMirror.Era();
  mProbe.Stop();
  for (const auto& it : mWatchers) {
    it->Stop();
  }
}

void StoreFollower::Relist()
{
  for (const auto& it : mWatchers) {
    it->Restart();
  }
}

void StoreFollower::Probe()
{
  mProbe.Tick();
}

void StoreFollower::Tick(TimePoint aNow)
{
  mMissedChanges.OnKnownUpTo(KnownState());
  if (!mIsFollowing) {
    return;
  }
  UpdateSilence(aNow);
  for (const auto& it : mWatchers) {
    it->FailOverdueCall(mProbe.AnsweredAt(), aNow);
  }
  if (IsListed()) {
    CatchUpWithEra();
    CatchUpWithMissedChanges(aNow);
  }
}

bool StoreFollower::IsServed(TimePoint aNow) const
{
  return mFailedKinds.empty() && IsListed() && !mProbe.IsSilent(aNow);
}

/** Makes the watchers catch up when the store falls silent, since what it should have answered
    meanwhile may be lost, and again once it answers: a call that was made in between is never
    answered either. */
void StoreFollower::UpdateSilence(TimePoint aNow)
{
  const bool isSilent = mProbe.IsSilent(aNow);
  if (std::exchange(mIsSilent, isSilent) == isSilent) {
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
      it->Refresh(isSilent ? std::optional(mProbe.AnsweredAt()) : std::nullopt);
    }
  }
}

/** Makes the watchers catch up that know an earlier era than the store's: a waiting watch may not
    have been cut off when the store was restored. */
void StoreFollower::CatchUpWithEra()
{
  const auto era = mProbe.Era();
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
StoreVersion StoreFollower::KnownState() const
{
  auto state = std::numeric_limits<StoreVersion>::max();
  for (const auto& it : mWatchers) {
    state = std::min(state, mMirror.AsOf(it->Kind()));
  }
  return state;
}

/** Makes the watchers catch up that may have missed changes: the answer to a watch may be lost in a
    silence that is too short for the probe to notice. */
void StoreFollower::CatchUpWithMissedChanges(TimePoint aNow)
{
  mMissedChanges.OnStoreState(mProbe.State());
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

void StoreFollower::OnObject(const StoreObject& aObject)
{
  // A removal is known by the state in which the object was missing, not by its own revision.
  if (!aObject.mIsDeleted) {
    mMissedChanges.OnChange(aObject.mRevision);
  }
}

void StoreFollower::OnStoreSuccess(ObjectKind aKind)
{
  mServedKinds.insert(aKind);
  mProbe.OnAnswer(Now());
  const bool hadFailed = mFailedKinds.erase(aKind) > 0;
  mOwner.OnStoreAnswered();
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

void StoreFollower::OnStoreChange(StoreVersion aRevision)
{
  mMissedChanges.OnChange(aRevision);
}

void StoreFollower::OnStoreFailure(ObjectKind aKind, const std::string& aReason)
{
  if (mFailedKinds.empty()) {
    mLog.Write(
      { &kStoreLost, { { "kind", std::string(KindName(aKind)) }, { "reason", aReason } } });
  }
  mFailedKinds.insert(aKind);
}

bool StoreFollower::MayRetry(ObjectKind aKind) const
{
  return mFailedKinds.empty() || *mFailedKinds.begin() == aKind;
}

} // namespace skylarkchute
