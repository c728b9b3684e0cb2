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

/** Another instance that is behind gets this instance's objects of a kind only once these have been
    unchanged for this long. */
constexpr milliseconds kForwardDelay{ 300 };

/** The store entry of an instance that was not heard from for this long is deleted. */
constexpr milliseconds kDeadInstanceTimeout{ 20000 };

/** Delay between the instances that may record a rollout step, in the order of their ranks, so that
    usually only the first one writes. */
constexpr milliseconds kRankDelay{ 500 };

constexpr milliseconds kRegisterRetryInterval{ 1000 };

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kNotFound = 404;

TimePoint Now()
{
  return std::chrono::steady_clock::now();
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
  for (const auto& it : mWatchers) {
    it->Restart();
  }
  mLastTick = Now();
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
  const RelayStatusSource source{ mSelf,     mRouter,   mMirror, mFailedKinds, mMesh.LivePeers(now),
                                  IsReady(), mIsLeaving };
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
    const auto instances = mMesh.LivePeers(now).size() + 1;
    mRouter.SetInstances(instances);
    for (const auto& it : mWatchers) {
      it->SetInstances(instances);
    }
  }
  if (mTickCount % kSettingsCheckTicks == 0 && mSettingsSource.HasChanged()) {
    Reload();
  }
  UpdateReadiness();
  Register();
  AdvanceRollouts(now);
  RemoveDeadInstances(now);
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
  for (const auto& it : mWatchers) {
    it->Restart();
  }
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

/** Creates or replaces this instance's entry in the store unless it names this incarnation. */
void RelayRuntime::Register()
{
  const auto now = Now();
  if (!mMirror.IsKnown(ObjectKind::Instances) || now < mNextRegisterAt) {
    return;
  }
  const auto* known = mMirror.Find(ObjectKind::Instances, mSelf.mName);
  const auto entry = known != nullptr ? DecodeInstance(*known) : std::nullopt;
  if (entry && entry->mIncarnation == mSelf.mIncarnation) {
    return;
  }
  mNextRegisterAt = now + kRegisterRetryInterval;
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

std::size_t RelayRuntime::RankFor(const std::string& aKey, TimePoint aNow) const
{
  auto members = mMesh.LivePeers(aNow);
  members.emplace_back(mSelf.mName);
  const auto order = RendezvousOrder(aKey, members, members.size());
  const auto found = std::find(order.begin(), order.end(), InstanceId(mSelf.mName));
  return static_cast<std::size_t>(found - order.begin());
}

void RelayRuntime::RemoveDeadInstances(TimePoint aNow)
{
  for (const auto& it : mMesh.PeersSilentFor(kDeadInstanceTimeout, aNow)) {
    const auto* entry = mMirror.Find(ObjectKind::Instances, it);
    if (entry == nullptr) {
      mMesh.RemovePeer(it);
    } else if (RankFor("remove " + it, aNow) == 0 && mFailedKinds.empty()) {
      mWriter.Write("DELETE",
                    ObjectTarget(ObjectKind::Instances, it) +
                      "?Revision=" + std::to_string(entry->mRevision),
                    {},
                    [](const CallResult&) {});
    }
  }
}

void RelayRuntime::AdvanceRollouts(TimePoint aNow)
{
  for (const auto& it : mRouter.Rollouts().Services()) {
    const auto step = mRouter.Rollouts().NextStep(it, aNow);
    if (step == RolloutStep::None) {
      continue;
    }
    const auto* order = mRouter.Rollouts().Order(it);
    const auto rank = RankFor("rollout " + it.Value(), aNow);
    const auto delayTicks = static_cast<std::uint64_t>(kRankDelay / kTickInterval) * rank;
    // An instance of a higher rank writes only if those before it have not recorded the step.
    if (mTickCount % (delayTicks + 1) != delayTicks) {
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

PeerExchange RelayRuntime::MakeExchange(const std::map<ObjectKind, KindState>* aKnown)
{
  const auto now = Now();
  PeerExchange exchange;
  exchange.mFrom = mSelf;
  for (const auto kind : kObjectKinds) {
    if (!mMirror.IsKnown(kind)) {
      continue;
    }
    const KindState own{ mMirror.AsOf(kind), mMirror.Digest(kind) };
    exchange.mKinds[kind] = own;
    if (aKnown == nullptr || now - mMirror.ChangedAt(kind) < kForwardDelay) {
      continue;
    }
    const auto theirs = aKnown->find(kind);
    const bool isBehind = theirs == aKnown->end() || (theirs->second.mDigest != own.mDigest &&
                                                      theirs->second.mAsOf < own.mAsOf);
    if (isBehind) {
      exchange.mSnapshots[kind] = mMirror.Snapshot(kind);
    }
  }
  exchange.mEvidence = mRouter.Rollouts().Evidence(now);
  exchange.mCrashes = mRouter.Suspects().Recent(now);
  return exchange;
}

void RelayRuntime::OnExchange(const PeerExchange& aExchange)
{
  const auto now = Now();
  for (const auto& [kind, snapshot] : aExchange.mSnapshots) {
    mMirror.Replace(kind, snapshot, now);
  }
  StopHoldingIfStateKnown();
  for (const auto& it : aExchange.mEvidence) {
    if (mRouter.Rollouts().OnEvidence(it, now)) {
      mLog.Write({ &kRolloutStopped,
                   { { "service", it.mService.Value() },
                     { "target", it.mTarget },
                     { "from", aExchange.mFrom.mName } } });
    }
  }
  for (const auto& it : aExchange.mCrashes) {
    mRouter.Suspects().OnCrash(it, now);
  }
}

void RelayRuntime::OnPeerChanged(const std::string& aName, bool aIsLive)
{
  mLog.Write({ aIsLive ? &kPeerRegained : &kPeerLost, { { "peer", aName } } });
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
  if (aKind == ObjectKind::Endpoints) {
    mSync.SetStoreAvailable(true);
  }
  if (mFailedKinds.erase(aKind) > 0 && mFailedKinds.empty()) {
    mLog.Write({ &kStoreRegained, {} });
  }
}

void RelayRuntime::OnStoreFailure(ObjectKind aKind, const std::string& aReason)
{
  if (aKind == ObjectKind::Endpoints) {
    mSync.SetStoreAvailable(false);
  }
  if (mFailedKinds.empty()) {
    mLog.Write(
      { &kStoreLost, { { "kind", std::string(KindName(aKind)) }, { "reason", aReason } } });
  }
  mFailedKinds.insert(aKind);
}

} // namespace skylarkchute
