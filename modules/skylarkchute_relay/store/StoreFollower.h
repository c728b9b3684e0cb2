#pragma once

#include "MissedChanges.h"
#include "StoreProbe.h"
#include "StoreWatcher.h"

#include <skylarkchute_core/skylarkchute_core.h>

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace skylarkchute {

/** Receives what a StoreFollower learns. */
class StoreFollowerOwner
{
public:
  virtual ~StoreFollowerOwner() = default;

  /** A list or a watch was answered; the mirror is up to date with it. */
  virtual void OnStoreAnswered() = 0;

  /** Returns whether entries may have expired in an outage of the store. */
  virtual ListOrigin OriginOfList() const = 0;
};

/** Keeps the mirror up to date with the platform's store while this instance follows it: watches
    all kinds, and finds out by probes whether the answer to a watch was lost. */
class StoreFollower final : public StoreHealthListener
{
public:
  /** Longest time between two calls of Tick(). */
  static constexpr std::chrono::milliseconds kTickInterval{ 200 };

  /** @param aKinds   kinds to watch
      @param aJitter  returns a random number from 0 to 1; spreads the retries of several instances
                      over time */
  StoreFollower(boost::asio::io_context& aContext,
                const std::string& aAddress,
                const std::vector<ObjectKind>& aKinds,
                StoreMirror& aMirror,
                StoreFollowerOwner& aOwner,
                const EventLog& aLog,
                MetricsRegistry& aMetrics,
                const std::function<double()>& aJitter);

  /** Begins to follow the store: lists all kinds. */
  void Start();

  /** Cancels all calls. */
  void Stop();

  /** Lists all kinds again, since this process was paused. */
  void Relist();

  /** Probes the store. To be called every StoreProbe::kInterval while it is followed. */
  void Probe();

  /** Makes calls again whose answers may be lost. To be called every kTickInterval. */
  void Tick(TimePoint aNow);

  /** Records a change of an object that was received, from the store or from another instance. */
  void OnObject(const StoreObject& aObject);

  bool IsFollowing() const { return mIsFollowing; }

  /** Returns whether the outcome of the first calls is known. */
  bool HasResult() const { return IsListed() || !mFailedKinds.empty(); }

  /** Returns whether the store serves all kinds to this instance. */
  bool IsServed(TimePoint aNow) const;

  /** Returns when the store answered last. */
  TimePoint AnsweredAt() const { return mProbe.AnsweredAt(); }

  /** Returns the kinds whose last list or watch call failed. */
  const std::set<ObjectKind>& FailedKinds() const { return mFailedKinds; }

  void OnStoreSuccess(ObjectKind aKind) override;
  void OnStoreFailure(ObjectKind aKind, const std::string& aReason) override;
  void OnStoreChange(StoreVersion aRevision) override;
  bool MayRetry(ObjectKind aKind) const override;
  ListOrigin OriginOfList() const override { return mOwner.OriginOfList(); }

private:
  bool IsListed() const { return mServedKinds.size() == mWatchers.size(); }
  StoreVersion KnownState() const;
  void UpdateSilence(TimePoint aNow);
  void CatchUpWithEra();
  void CatchUpWithMissedChanges(TimePoint aNow);

  StoreMirror& mMirror;
  StoreFollowerOwner& mOwner;
  const EventLog& mLog;
  MetricsRegistry& mMetrics;
  StoreProbe mProbe;
  MissedChanges mMissedChanges;
  std::vector<std::shared_ptr<StoreWatcher>> mWatchers;
  std::set<ObjectKind> mFailedKinds;
  std::set<ObjectKind> mServedKinds; /**< Kinds that were listed since Start(). */
  std::uint64_t mCatchUpEra = 0;     /**< Era of the store that the watchers were told of. */
  bool mIsSilent = false;            /**< The watches were started again because of it. */
  bool mIsFollowing = false;
};

} // namespace skylarkchute
