#include "RelayRuntime.h"

#include "../events/RelayEvents.h"
#include "../net/SocketOptions.h"
#include "RelayStatus.h"

#include <algorithm>
#include <csignal>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{ 200 };

/** Ticks between two checks (1 s) of the settings file, which may change without a signal. */
constexpr std::uint64_t kSettingsCheckTicks = 5;

/** A longer time between two ticks means that the process was paused and its state may be out of
    date. */
constexpr milliseconds kPauseThreshold{ 1200 };

/** For this long after the stop signal, but at most for half the grace period, new requests are
    accepted, since the load balancer sends them until it sees that the instance is not ready. */
constexpr milliseconds kBalancerUpdateDelay{ 2600 };
constexpr milliseconds kStopCheckInterval{ 50 };

/** Fraction of the grace period after which the process exits even if requests are in progress. */
constexpr double kGraceFraction = 0.96;

/** The store entry of an instance that has been dead for this long is deleted. */
constexpr milliseconds kDeadInstanceTimeout{ 20000 };

/** Delay between the instances that may record a rollout step, in the order of their ranks, so that
    usually only the first one writes. */
constexpr milliseconds kRankDelay{ 500 };

/** A conditional write is not repeated before the change had time to come back from the store. */
constexpr milliseconds kWriteInterval{ 2000 };

/** Without a confirmation for this long, entries may have expired in an outage of the store. */
constexpr milliseconds kOutageAge{ 1500 };

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kNotFound = 404;

TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

/** Returns whether starting instances contact this one, or it has no other one to contact. */
bool IsContact(const RelaySettings& aSettings)
{
  const auto& seeds = aSettings.mSeeds;
  return seeds.empty() ||
         std::find(seeds.begin(), seeds.end(), aSettings.mPeerAddress) != seeds.end();
}

} // namespace

RelayRuntime::RelayRuntime(RelaySettings aSettings,
                           const std::string& aIncarnation,
                           SettingsSource& aSource)
  : mSettings(std::move(aSettings))
  , mSettingsSource(aSource)
  , mSelf{ mSettings.mName,
           MakeIncarnation(InstanceId(mSettings.mName), aIncarnation).Value(),
           mSettings.mPeerAddress,
           mSettings.mZone.Value() }
  , mLog(mSettings.mName, LogFormat::Json, mSettings.mLogLevel)
  , mLoop(1)
  , mRandom(static_cast<std::minstd_rand::result_type>(StableHash(aIncarnation) % 2147483646U + 1))
  , mRouter(IncarnationId(mSelf.mIncarnation), mSettings.mZone, mSettings.mBounds, mRandom())
  , mPool(mLoop)
  , mCrashProbe(mLoop, mRouter, mLog)
  , mStartupQueue(mLoop)
  , mSync(mRouter, mPool, mLog)
  , mMirror(
      [this](ObjectKind aKind, const StoreObject& aObject) { mSync.OnObject(aKind, aObject); })
  , mMesh(mLoop, *this, mSelf, mSettings.mSeeds, mRandom())
  , mFollowing(mSelf, IsContact(mSettings), mRandom(), Now())
  , mStoreProbe(mLoop, mSettings.mStoreAddress, mSelf.mName)
  , mWriter(mLoop, mSettings.mStoreAddress)
  , mContext{ mLoop, mRouter,  mPool,      mCrashProbe, mStartupQueue,
              mLog,  mMetrics, mIsLeaving, mRefusesNew }
  , mCallerServer(mContext)
  , mReadyServer(mLoop, [this](const ControlRequest& aRequest) { return AnswerReady(aRequest); })
  , mPeerServer(mLoop, [this](const ControlRequest& aRequest) { return AnswerPeer(aRequest); })
  , mMetricsServer(mLoop,
                   [this](const ControlRequest& aRequest) { return AnswerMetrics(aRequest); })
  , mSignals(mLoop, SIGTERM, SIGINT, SIGHUP)
  , mTickTimer(mLoop)
  , mStopTimer(mLoop)
{
  mSync.SetMesh(&mMesh);
  for (const auto it : kObjectKinds) {
    mWatchers.push_back(
      std::make_shared<StoreWatcher>(mLoop, mSettings.mStoreAddress, it, mMirror, *this, [this] {
        return static_cast<double>(mRandom()) / static_cast<double>(std::minstd_rand::max());
      }));
  }
}

RelayRuntime::~RelayRuntime() = default;

bool RelayRuntime::Listen()
{
  const auto callers = ParseSocketAddress(mSettings.mCallerAddress);
  const auto ready = ParseSocketAddress(mSettings.mReadyAddress);
  const auto peers = ParseSocketAddress(mSettings.mPeerAddress);
  const auto metrics = ParseSocketAddress(mSettings.mMetricsAddress);
  return callers && ready && peers && mCallerServer.Listen(*callers) &&
         mReadyServer.Listen(*ready) && mPeerServer.Listen(*peers) &&
         (!metrics || mMetricsServer.Listen(*metrics));
}

bool RelayRuntime::Run()
{
  std::signal(SIGPIPE, SIG_IGN);
  if (!Listen()) {
    return false;
  }
  mLog.Write(
    { &kRelayStarted,
      { { "incarnation", mSelf.mIncarnation }, { "callers", mSettings.mCallerAddress } } });
  WaitForSignal();
  mStartupQueue.StartHolding();
  mLastTick = Now();
  UpdateStoreRole(mLastTick);
  mMesh.Tick(mLastTick);
  ScheduleTick();
  mLoop.run();
  mLog.Write({ &kRelayStopped, {} });
  return true;
}

bool RelayRuntime::IsReady() const
{
  return !mIsLeaving && mRouter.Config() != nullptr && mMirror.IsKnown(ObjectKind::Endpoints);
}

ControlResponse RelayRuntime::AnswerReady(const ControlRequest& /*aRequest*/) const
{
  const bool ready = IsReady();
  return { ready ? kOk : kUnavailable, "text/plain", ready ? "ready\n" : "not ready\n" };
}

ControlResponse RelayRuntime::AnswerPeer(const ControlRequest& aRequest)
{
  if (aRequest.mMethod != "POST") {
    return { kNotFound, "text/plain", "" };
  }
  return { kOk, "application/json", mMesh.Serve(aRequest.mBody) };
}

ControlResponse RelayRuntime::AnswerStatus()
{
  const auto now = Now();
  RelayStatusSource source{ mSelf, mRouter, mMirror, mFailedKinds };
  for (const auto* it : mMesh.Members().LiveMembers()) {
    source.mPeers.emplace_back(it->mRecord.mName);
  }
  source.mStoreRole = mMesh.Members().Role();
  source.mConfirmationAge = mFollowing.ConfirmationAge(now);
  source.mIsReady = IsReady();
  source.mIsLeaving = mIsLeaving;
  return { kOk, "application/json", WriteJson(RelayStatusDocument(source, now)) };
}

ControlResponse RelayRuntime::AnswerMetrics(const ControlRequest& aRequest)
{
  if (aRequest.mTarget == "/status") {
    return AnswerStatus();
  }
  if (const auto& config = mRouter.Config()) {
    for (const auto& it : config->Config().mServices) {
      mMetrics.Set("skylarkchute_pressure",
                   "service=\"" + it.mName.Value() + "\"",
                   mRouter.Endpoints().Pressure(it.mName, Now()));
    }
  }
  return { kOk, "text/plain", mMetrics.PrometheusText() };
}

void RelayRuntime::WaitForSignal()
{
  mSignals.async_wait([this](const ErrorCode& aError, int aSignal) {
    if (aError) {
      return;
    }
    if (aSignal == SIGHUP) {
      Reload();
    } else {
      BeginStop();
    }
    WaitForSignal();
  });
}

void RelayRuntime::Reload()
{
  const auto settings = mSettingsSource.Read();
  if (!settings) {
    mLog.Write({ &kSettingsRefused, {} });
    return;
  }
  // Name, zone, addresses and log level change only when the process restarts.
  mSettings.mGrace = settings->mGrace;
  mSettings.mBounds = settings->mBounds;
  mSettings.mSeeds = settings->mSeeds;
  mRouter.SetBounds(mSettings.mBounds);
  mMesh.SetSeeds(mSettings.mSeeds);
  mLog.Write({ &kSettingsReloaded, {} });
}

void RelayRuntime::BeginStop()
{
  if (mIsLeaving) {
    return;
  }
  mIsLeaving = true;
  mStopRequestedAt = Now();
  mLog.Write({ &kRelayStopping, { { "grace_ms", std::to_string(mSettings.mGrace.count()) } } });
  CheckStopped();
}

void RelayRuntime::CheckStopped()
{
  const auto now = Now();
  const bool isBalancerUpdated =
    now - mStopRequestedAt >= std::min<milliseconds>(kBalancerUpdateDelay, mSettings.mGrace / 2);
  const bool isOverdue = now - mStopRequestedAt >= mSettings.mGrace * kGraceFraction;
  if (isBalancerUpdated) {
    mRefusesNew = true;
    mCallerServer.StopAccepting();
    mCallerServer.CloseIdle();
  }
  if ((isBalancerUpdated && !mCallerServer.IsBusy()) || isOverdue) {
    mLoop.stop();
    return;
  }
  mStopTimer.expires_after(kStopCheckInterval);
  mStopTimer.async_wait([this](const ErrorCode& aError) {
    if (!aError) {
      CheckStopped();
    }
  });
}

void RelayRuntime::ScheduleTick()
{
  mTickTimer.expires_after(kTickInterval);
  mTickTimer.async_wait([this](const ErrorCode& aError) {
    if (!aError) {
      Tick();
      ScheduleTick();
    }
  });
}

void RelayRuntime::Tick()
{
  const auto now = Now();
  DetectPause(now);
  ++mTickCount;
  for (const auto& it : mRouter.Tick(now)) {
    mPool.CloseIdleConnections(it);
  }
  mPool.CloseExpired(now);
  if (mTickCount % static_cast<std::uint64_t>(PeerMesh::kInterval / kTickInterval) == 0) {
    mMesh.Tick(now);
    if (mMesh.Members().Role() != StoreRole::None) {
      mStoreProbe.Tick();
    }
    if (mRouter.Rollouts().IsRunning()) {
      mMesh.CallAny();
    }
    for (const auto& it : mFollowing.FollowersToCall(mMesh.Members().LiveMembers())) {
      mMesh.Call(it);
    }
    mRouter.SetInstances(mMesh.Members().LiveCount());
  }
  UpdateStoreRole(now);
  if (mTickCount % kSettingsCheckTicks == 0 && mSettingsSource.HasChanged()) {
    Reload();
  }
  UpdateReadiness();
  AdvanceRollouts(now);
  if (mMesh.Members().Role() == StoreRole::Follows) {
    Register();
    RemoveDeadInstances(now);
  }
}

/** Starts the watches again when the store has gone silent: what it should have answered meanwhile
    may be lost. */
void RelayRuntime::RestartIfStoreSilent(TimePoint aNow)
{
  const bool wasSilent = std::exchange(mIsStoreSilent, mStoreProbe.IsSilent(aNow));
  if (!mIsStoreSilent || wasSilent || !mFailedKinds.empty()) {
    return;
  }
  mLog.Write({ &kStoreLost, { { "kind", "all" }, { "reason", "silent" } } });
  for (const auto kind : kObjectKinds) {
    mFailedKinds.insert(kind);
  }
  for (const auto& it : mWatchers) {
    it->Restart();
  }
}

/** Starts or stops watching the store as mFollowing decides. */
void RelayRuntime::UpdateStoreRole(TimePoint aNow)
{
  const bool wasFollowing = mMesh.Members().Role() != StoreRole::None;
  const bool isListed = mServedKinds.size() == std::size(kObjectKinds);
  const bool isServed = mFailedKinds.empty() && isListed && !mStoreProbe.IsSilent(aNow);
  if (wasFollowing && (isListed || !mFailedKinds.empty())) {
    mFollowing.OnStoreResult(isServed, mStoreProbe.AnsweredAt());
  }
  if (wasFollowing && isListed) {
    RestartIfStoreSilent(aNow);
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
  mStoreProbe.Stop();
  for (const auto& it : mWatchers) {
    if (isFollowing) {
      it->Restart();
    } else {
      it->Stop();
    }
  }
}

void RelayRuntime::DetectPause(TimePoint aNow)
{
  const auto gap = aNow - mLastTick;
  mLastTick = aNow;
  if (gap < kPauseThreshold) {
    return;
  }
  mLog.Write(
    { &kProcessPaused,
      { { "gap_ms", std::to_string(std::chrono::duration_cast<milliseconds>(gap).count()) } } });
  if (mMesh.Members().Role() != StoreRole::None) {
    for (const auto& it : mWatchers) {
      it->Restart();
    }
  }
  mFollowing.OnPause(aNow);
  mMesh.OnPause(aNow);
}

void RelayRuntime::UpdateReadiness()
{
  const bool ready = IsReady();
  if (ready && !mWasReady) {
    mLog.Write(
      { &kRelayReady, { { "endpoints", std::to_string(mRouter.Endpoints().All().size()) } } });
  }
  mWasReady = ready;
}

/** Returns whether a conditional write to an object may be made now, and counts it as made. */
bool RelayRuntime::MayWrite(const std::string& aObject, TimePoint aNow)
{
  auto& next = mNextWriteAt[aObject];
  if (aNow < next) {
    return false;
  }
  next = aNow + kWriteInterval;
  return true;
}

/** Creates or replaces this instance's entry in the store unless it names this incarnation. Only
    followers have an entry: it shows instances that start, and groups that were cut off from each
    other, whom to contact. */
void RelayRuntime::Register()
{
  const auto* known = mMirror.Find(ObjectKind::Instances, mSelf.mName);
  const auto entry = known != nullptr ? DecodeInstance(*known) : std::nullopt;
  if ((entry && entry->mIncarnation == mSelf.mIncarnation) ||
      !MayWrite("instance " + mSelf.mName, Now())) {
    return;
  }
  const bool isNew = known == nullptr;
  const auto target = isNew ? ListTarget(ObjectKind::Instances, {})
                            : ObjectTarget(ObjectKind::Instances, mSelf.mName);
  mWriter.Write(
    isNew ? "POST" : "PUT",
    target,
    EncodeInstance(mSelf, isNew ? 0 : known->mRevision),
    [this](const CallResult& aResult) {
      mLog.Write({ &kStoreWrite,
                   { { "object", "instance" }, { "status", std::to_string(aResult.mStatus) } } });
    });
}

/** Returns this instance's place among those that may write for a key: the followers that the store
    serves, or all if there are none. */
std::size_t RelayRuntime::RankFor(const std::string& aKey) const
{
  const auto live = mMesh.Members().LiveMembers();
  const auto follows = [](const MemberUpdate* aMember) {
    return aMember->mRole == StoreRole::Follows && aMember->mState == MemberState::Alive;
  };
  const bool isFollowing = mMesh.Members().Role() == StoreRole::Follows;
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

void RelayRuntime::RemoveDeadInstances(TimePoint aNow)
{
  for (const auto& it : mMirror.Snapshot(ObjectKind::Instances).mObjects) {
    const auto& name = it.mName;
    if (!mMesh.Members().IsDeadFor(name, kDeadInstanceTimeout, aNow) ||
        RankFor("remove " + name) != 0 || !MayWrite("instance " + name, aNow)) {
      continue;
    }
    mWriter.Write("DELETE",
                  ObjectTarget(ObjectKind::Instances, name) +
                    "?Revision=" + std::to_string(it.mRevision),
                  {},
                  [this, name](const CallResult& aResult) {
                    mLog.Write({ &kStoreWrite,
                                 { { "object", "dead instance " + name },
                                   { "status", std::to_string(aResult.mStatus) } } });
                  });
  }
}

void RelayRuntime::AdvanceRollouts(TimePoint aNow)
{
  for (const auto& it : mRouter.Rollouts().Services()) {
    const auto step = mRouter.Rollouts().NextStep(it, aNow);
    if (step == RolloutStep::None) {
      mStepSince.erase(it);
      continue;
    }
    const auto* order = mRouter.Rollouts().Order(it);
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

void RelayRuntime::FillExchange(PeerExchange& aExchange,
                                const KnownKinds* aKnown,
                                std::size_t aMaxBytes)
{
  const auto now = Now();
  aExchange.mConfirmationAge = mFollowing.ConfirmationAge(now);
  for (const auto kind : kObjectKinds) {
    if (!mMirror.IsKnown(kind)) {
      continue;
    }
    aExchange.mKinds[kind] = { mMirror.AsOf(kind), mMirror.Digest(kind) };
    const auto found = aKnown == nullptr ? KnownKinds::const_iterator() : aKnown->find(kind);
    const auto* theirs = aKnown == nullptr || found == aKnown->end() ? nullptr : &found->second;
    // An instance of which nothing is known may hold everything; it asks for what it lacks.
    const bool mayNeedNothing = aKnown == nullptr;
    const auto changes = mayNeedNothing ? nullptr : ChangesFor(kind, theirs);
    if (changes && changes->mText.size() <= aMaxBytes) {
      aExchange.mChanges[kind] = changes;
    }
  }
  aExchange.mEvidence = mRouter.Rollouts().Evidence(now);
  aExchange.mCrashes = mRouter.Suspects().Recent(now);
}

/** Returns what an instance lacks of a kind, or null when it lacks nothing.
    @param aKnown  what it last reported; null when it holds nothing or is unknown */
std::shared_ptr<const PackedChanges> RelayRuntime::ChangesFor(ObjectKind aKind,
                                                              const KindState* aKnown)
{
  const auto asOf = mMirror.AsOf(aKind);
  if (aKnown != nullptr && (aKnown->mDigest == mMirror.Digest(aKind) || aKnown->mAsOf >= asOf)) {
    return nullptr;
  }
  const auto changes =
    aKnown == nullptr ? std::nullopt : mMirror.ChangesSince(aKind, aKnown->mAsOf);
  auto& packed = mPacked[{ aKind, changes.has_value() }];
  const bool isCached =
    packed && packed->mAsOf == asOf && (!changes || packed->mSince == changes->mSince);
  if (!isCached) {
    packed = std::make_shared<const PackedChanges>(changes ? PackChanges(*changes)
                                                           : PackSnapshot(mMirror.Snapshot(aKind)));
  }
  return packed;
}

bool RelayRuntime::IsBehind(const KnownKinds& aKinds) const
{
  return std::any_of(aKinds.begin(), aKinds.end(), [this](const auto& aEntry) {
    const auto& [kind, theirs] = aEntry;
    return !mMirror.IsKnown(kind) ||
           (theirs.mDigest != mMirror.Digest(kind) && theirs.mAsOf > mMirror.AsOf(kind));
  });
}

/** Tells other instances of the objects if they have changed since the last time. */
void RelayRuntime::SpreadChanges(ChangeSpread::Source aSource)
{
  bool hasChanged = false;
  for (const auto kind : kObjectKinds) {
    auto& spread = mSpreadStates[kind];
    hasChanged = hasChanged || spread.mDigest != mMirror.Digest(kind);
    spread = { mMirror.AsOf(kind), mMirror.Digest(kind) };
  }
  if (hasChanged) {
    mMesh.SpreadChange(aSource);
  }
}

void RelayRuntime::ApplyChanges(ObjectKind aKind, const PackedChanges& aChanges, TimePoint aNow)
{
  const bool isUsable =
    aChanges.mAsOf > mMirror.AsOf(aKind) &&
    (aChanges.mIsSnapshot || (mMirror.IsKnown(aKind) && aChanges.mSince <= mMirror.AsOf(aKind)));
  const auto objects = isUsable ? UnpackObjects(aChanges) : std::nullopt;
  if (!objects) {
    return;
  }
  if (aChanges.mIsSnapshot) {
    mMirror.Replace(aKind, { aChanges.mAsOf, *objects }, aNow, OriginOfList());
  } else {
    mMirror.Apply(aKind, KindChanges{ aChanges.mSince, aChanges.mAsOf, *objects }, aNow);
  }
}

void RelayRuntime::OnExchange(const PeerExchange& aExchange)
{
  const auto now = Now();
  for (const auto& [kind, changes] : aExchange.mChanges) {
    ApplyChanges(kind, *changes, now);
  }
  for (const auto& [kind, state] : aExchange.mKinds) {
    mMirror.Confirm(kind, state.mDigest, state.mAsOf);
  }
  if (aExchange.mConfirmationAge) {
    mFollowing.OnConfirmation(*aExchange.mConfirmationAge, now);
  }
  SpreadChanges(ChangeSpread::Source::Instance);
  StopHoldingIfStateKnown();
  for (const auto& it : aExchange.mEvidence) {
    if (mRouter.Rollouts().OnEvidence(it, now)) {
      mLog.Write({ &kRolloutStopped,
                   { { "service", it.mService.Value() },
                     { "target", it.mTarget },
                     { "from", aExchange.mMembership.mFrom.mRecord.mName } } });
    }
  }
  for (const auto& it : aExchange.mCrashes) {
    mRouter.Suspects().OnCrash(it, now);
  }
}

void RelayRuntime::OnPeerChanged(const MemberChange& aChange)
{
  mLog.Write({ aChange.mIsLive ? &kPeerRegained : &kPeerLost, { { "peer", aChange.mName } } });
}

/** Releases the requests that wait at startup once configuration and endpoints are known. */
void RelayRuntime::StopHoldingIfStateKnown()
{
  if (mRouter.Config() != nullptr && mMirror.IsKnown(ObjectKind::Endpoints)) {
    mStartupQueue.StopHolding();
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
  return age && *age >= kOutageAge ? ListOrigin::AfterOutage : ListOrigin::Normal;
}

} // namespace skylarkchute
