#include "RelayRuntime.h"

#include "../events/RelayEvents.h"

namespace skylarkchute {

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

/** Starts or stops following the store as mFollowing decides. */
void RelayRuntime::UpdateStoreRole(TimePoint aNow)
{
  if (mStoreFollower.IsFollowing() && mStoreFollower.HasResult()) {
    mFollowing.OnStoreResult(mStoreFollower.IsServed(aNow), mStoreFollower.AnsweredAt());
  }
  mStoreFollower.Tick(aNow);
  const auto role = mFollowing.Decide(mMesh.Members().LiveMembers(), aNow);
  mMesh.Members().SetRole(role);
  const bool isFollowing = role != StoreRole::None;
  if (isFollowing == mStoreFollower.IsFollowing()) {
    return;
  }
  mLog.Write({ isFollowing ? &kStoreFollowed : &kStoreNotFollowed, {} });
  if (isFollowing) {
    mStoreFollower.Start();
  } else {
    mStoreFollower.Stop();
  }
}

void RelayRuntime::OnStoreAnswered()
{
  StopHoldingIfStateKnown();
  SpreadChanges(ChangeSpread::Source::Store);
}

void RelayRuntime::OnObject(ObjectKind aKind, const StoreObject& aObject)
{
  mStoreFollower.OnObject(aObject);
  mSync.OnObject(aKind, aObject);
}

/** A list that this instance gets when no follower has been served for a while may lack entries
   that expired in an outage. */
ListOrigin RelayRuntime::OriginOfList() const
{
  const auto age = mFollowing.ServedAge(std::chrono::steady_clock::now());
  return age && *age >= StoreWatcher::kOutageAge ? ListOrigin::AfterOutage : ListOrigin::Normal;
}

} // namespace skylarkchute
