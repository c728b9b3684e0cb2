#include "RelayRuntime.h"

#include "../events/RelayEvents.h"
#include "../net/SocketOptions.h"
#include "LoopGuard.h"
#include "RelayStatus.h"
#include "RouteExplanationDocument.h"

#include <algorithm>
#include <csignal>
#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{ 200 };
static_assert(kTickInterval <= StoreFollower::kTickInterval);

/** Retry-After of waiting requests that are refused during shutdown, as for new ones: another
    instance can serve the retry at once. */
constexpr milliseconds kWaitingRetryAfter{ 20 };

/** Ticks between two checks (1 s) of the settings file, which may change without a signal. */
constexpr std::uint64_t kSettingsCheckTicks = 5;

/** A longer time between two ticks means that the process was paused and its state may be out of
    date. */
constexpr milliseconds kPauseThreshold{ 1200 };

/** Delays of a tick from here on are logged. */
constexpr milliseconds kLoopDelayThreshold{ 250 };

/** For this long after the stop signal, but at most for half the grace period, new requests are
    accepted, since the load balancer sends them until it sees that the instance is not ready. */
constexpr milliseconds kBalancerUpdateDelay{ 2600 };
constexpr milliseconds kStopCheckInterval{ 50 };

/** Fraction of the grace period after which the process exits even if requests are in progress. */
constexpr double kGraceFraction = 0.96;

/** Time before the exit at which the requests in progress get their final responses. */
constexpr milliseconds kFinalAnswerTime{ 150 };

/** Failed handlers are logged at most this often. */
constexpr milliseconds kFailureLogInterval{ 1000 };

/** Ticks between two reports (5 s) of what was refused to callers. */
constexpr std::uint64_t kCallerReportTicks = 25;

/** Longest body at the addresses for readiness and metrics, whose requests need none. */
constexpr std::uint32_t kMaxQueryBytes = 16 * 1024;

/** Bodies from this length on are given back to the system when they are freed. By default the
    allocator raises its threshold to the largest one freed, up to 32 MB, and keeps the memory. */
constexpr int kMapThresholdBytes = 128 * 1024;

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kNotFound = 404;

/** Lets signals through that arrived before their handlers were set. */
void UnblockHangup()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

ControlServer::Limits ControlLimits(const RelaySettings& aSettings, std::uint32_t aBodyBytes)
{
  ControlServer::Limits limits;
  limits.mBounds.mConnections = aSettings.mCallers.ControlConnections();
  limits.mBodyBytes = aBodyBytes;
  return limits;
}

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
  , mMirror([this](ObjectKind aKind, const StoreObject& aObject) { OnObject(aKind, aObject); })
  , mMesh(mLoop, *this, mSelf, mSettings.mSeeds, mRandom())
  , mMirrorExchange(mMirror, FollowedKinds(mSettings.mEvacuationTime.has_value()))
  , mConfigExchange(mSync, mMirror)
  , mDepartureExchange(mRouter.Endpoints())
  , mLoadExchange(mRouter.Endpoints())
  , mFollowing(mSelf, IsContact(mSettings), mRandom(), Now())
  , mStoreFollower(mLoop,
                   mSettings.mStoreAddress,
                   FollowedKinds(mSettings.mEvacuationTime.has_value()),
                   mMirror,
                   *this,
                   mLog,
                   mMetrics,
                   [this] {
                     return static_cast<double>(mRandom()) /
                            static_cast<double>(std::minstd_rand::max());
                   })
  , mRecorder(mLoop,
              mSettings.mStoreAddress,
              mSelf,
              mMesh.Members(),
              mMirror,
              mRouter.Rollouts(),
              mLog)
  , mContext{ mLoop,         mRouter, mPool,    mCrashProbe, mStartupQueue,
              mAnswerMemory, mLog,    mMetrics, mIsLeaving,  mRefusesNew }
  , mCallerGuard(std::make_shared<CallerGuard>(mSettings.mCallers.Limits()))
  , mCallerServer(mContext, RequestOrigin::Caller, mCallerGuard)
  , mForwardServer(mContext, RequestOrigin::Instance, mCallerGuard)
  , mReadyServer(
      mLoop,
      [this](const ControlRequest& aRequest) { return AnswerReady(aRequest); },
      ControlLimits(mSettings, kMaxQueryBytes))
  , mPeerServer(
      mLoop,
      [this](const ControlRequest& aRequest) { return AnswerPeer(aRequest); },
      ControlLimits(mSettings, ControlServer::Limits::kDefaultBodyBytes))
  , mMetricsServer(
      mLoop,
      [this](const ControlRequest& aRequest) { return AnswerMetrics(aRequest); },
      ControlLimits(mSettings, kMaxExplainBytes))
  , mSignals(mLoop, SIGTERM, SIGINT, SIGHUP)
  , mTickTimer(mLoop)
  , mStopTimer(mLoop)
{
  mSync.SetMesh(&mMesh);
  mRouter.Endpoints().HoldUse();
}

RelayRuntime::~RelayRuntime() = default;

bool RelayRuntime::Listen()
{
  const auto callers = ParseSocketAddress(mSettings.mCallerAddress);
  const auto ready = ParseSocketAddress(mSettings.mReadyAddress);
  const auto peers = ParseSocketAddress(mSettings.mPeerAddress);
  const auto forwarded = ParseSocketAddress(mSettings.mForwardAddress);
  const auto metrics = ParseSocketAddress(mSettings.mMetricsAddress);
  return callers && ready && peers && mCallerServer.Listen(*callers) &&
         mReadyServer.Listen(*ready) && mPeerServer.Listen(*peers) &&
         (!forwarded || mForwardServer.Listen(*forwarded)) &&
         (!metrics || mMetricsServer.Listen(*metrics));
}

bool RelayRuntime::Run()
{
  std::signal(SIGPIPE, SIG_IGN);
#ifdef __GLIBC__
  mallopt(M_MMAP_THRESHOLD, kMapThresholdBytes);
#endif
  if (!Listen()) {
    return false;
  }
  mLog.Write(
    { &kRelayStarted,
      { { "incarnation", mSelf.mIncarnation }, { "callers", mSettings.mCallerAddress } } });
  LogDefaultedSettings(mSettings);
  WaitForSignal();
  UnblockHangup();
  mStartupQueue.StartHolding();
  mLastTick = Now();
  UpdateStoreRole(mLastTick);
  mMesh.Tick(mLastTick);
  ScheduleTick();
  RunLoop(mLoop, [this](const std::string& aReason) { OnHandlerFailed(aReason); });
  mLog.Write({ &kRelayStopped, {} });
  return true;
}

void RelayRuntime::OnHandlerFailed(const std::string& aReason)
{
  mMetrics.Add("skylarkchute_failed_handlers_total", "");
  const auto now = Now();
  if (now - mHandlerFailureLoggedAt >= kFailureLogInterval) {
    mHandlerFailureLoggedAt = now;
    mLog.Write({ &kHandlerFailed, { { "reason", aReason } } });
  }
}

bool RelayRuntime::IsReady() const
{
  return !mIsLeaving && IsStateKnown();
}

/** Returns whether all that is needed to serve requests is known. */
bool RelayRuntime::IsStateKnown() const
{
  return mRouter.Config() != nullptr &&
         IsRoutingStateKnown(mMirror, FollowedKinds(mSettings.mEvacuationTime.has_value()));
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
  RelayStatusSource source{ mSelf, mRouter, mMirror, mStoreFollower.FailedKinds() };
  for (const auto* it : mMesh.Members().LiveMembers()) {
    source.mPeers.emplace_back(it->mRecord.mName);
  }
  source.mStoreRole = mMesh.Members().Role();
  source.mConfirmationAge = mFollowing.ConfirmationAge(now);
  source.mConfigLag = mConfigLag.Lag(now);
  source.mIsReady = IsReady();
  source.mIsLeaving = mIsLeaving;
  return { kOk, "application/json", WriteJson(RelayStatusDocument(source, now)) };
}

ControlResponse RelayRuntime::AnswerExplain(const ControlRequest& aRequest) const
{
  return AnswerRouteExplanation(
    { mSelf, mRouter, mStartupQueue.IsHolding(), mRefusesNew }, aRequest, Now());
}

ControlResponse RelayRuntime::AnswerMetrics(const ControlRequest& aRequest)
{
  if (aRequest.mTarget == "/status") {
    return AnswerStatus();
  }
  if (aRequest.mTarget == "/explain") {
    return AnswerExplain(aRequest);
  }
  if (const auto& config = mRouter.Config()) {
    for (const auto& it : config->Config().mServices) {
      mMetrics.Set("skylarkchute_pressure",
                   "service=\"" + it.mName.Value() + "\"",
                   mRouter.Endpoints().Pressure(it.mName, Now()));
      mMetrics.Set("skylarkchute_brittle_share",
                   "service=\"" + it.mName.Value() + "\"",
                   mRouter.Brittle().ShareOf(it.mName));
    }
  }
  for (const auto& it : mRouter.Admission().Summaries(Now())) {
    SetAdmissionMetrics(mMetrics, it);
  }
  if (mSettings.mEvacuationTime) {
    mMetrics.Set("skylarkchute_evacuated_zones",
                 "",
                 static_cast<double>(mRouter.Endpoints().EvacuatedZones().size()));
  }
  if (mSettings.mBounds.mCold) {
    std::map<ServiceName, std::size_t> cold;
    for (auto& [id, row] : mRouter.Endpoints().All()) {
      cold[row.mEntry.mService] += mRouter.IsCold(row, Now()) ? 1 : 0;
    }
    for (const auto& [service, count] : cold) {
      mMetrics.Set("skylarkchute_cold_endpoints",
                   "service=\"" + service.Value() + "\"",
                   static_cast<double>(count));
    }
    mMetrics.Set("skylarkchute_cold_share_unknown", "", mRouter.IsColdShareUnknown() ? 1 : 0);
  }
  mMetrics.Set("skylarkchute_config_lag_seconds",
               "",
               std::chrono::duration<double>(mConfigLag.Lag(Now())).count());
  LoadViewMonitor::SetMetrics(mRouter, mMetrics, Now());
  return { kOk, "text/plain", mMetrics.PrometheusText() };
}

void RelayRuntime::WaitForSignal()
{
  mSignals.async_wait([this](const ErrorCode& aError, int aSignal) {
    if (aError) {
      return;
    }
    WaitForSignal();
    if (aSignal == SIGHUP) {
      Reload();
    } else {
      BeginStop();
    }
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
  LogDefaultedSettings(*settings);
}

void RelayRuntime::LogDefaultedSettings(const RelaySettings& aSettings) const
{
  if (!aSettings.mDefaulted.empty()) {
    mLog.Write({ &kSettingsDefaulted, { { "keys", WriteList(aSettings.mDefaulted) } } });
  }
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
    for (auto* it : { &mCallerServer, &mForwardServer }) {
      it->StopAccepting();
      it->RefuseUnread();
    }
    mContext.mWaiters.RefuseAll(mRouter, { RefusalReason::Leaving, kWaitingRetryAfter });
  }
  if (now - mStopRequestedAt + kFinalAnswerTime >= mSettings.mGrace * kGraceFraction) {
    EndRequests();
  }
  const bool isBusy = mCallerServer.IsBusy() || mForwardServer.IsBusy();
  if ((isBalancerUpdated && !isBusy) || isOverdue) {
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

/** Answers the requests that are still in progress at the end of the grace period. */
void RelayRuntime::EndRequests()
{
  const auto ended = mCallerServer.EndRequests() + mForwardServer.EndRequests();
  if (ended > 0) {
    mLog.Write({ &kRequestsEnded, { { "requests", std::to_string(ended) } } });
  }
}

void RelayRuntime::ScheduleTick()
{
  mTickTimer.expires_after(kTickInterval);
  mTickTimer.async_wait([this](const ErrorCode& aError) {
    if (!aError) {
      RecordLoopDelay();
      ScheduleTick();
      Tick();
    }
  });
}

/** Records how late the tick is, which tells how long other events have waited as well. */
void RelayRuntime::RecordLoopDelay()
{
  const auto delay = Now() - mTickTimer.expiry();
  mMetrics.Record("skylarkchute_loop_delay_seconds",
                  "",
                  std::chrono::duration_cast<std::chrono::microseconds>(delay));
  if (delay >= kLoopDelayThreshold) {
    mLog.Write({ &kLoopDelayed,
                 { { "delay_ms",
                     std::to_string(std::chrono::duration_cast<milliseconds>(delay).count()) } } });
  }
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
    if (mStoreFollower.IsFollowing()) {
      mStoreFollower.Probe();
    }
    if (mRouter.Rollouts().IsRunning()) {
      mMesh.CallAny();
    }
    for (const auto& it : mFollowing.FollowersToCall(mMesh.Members().LiveMembers())) {
      mMesh.Call(it);
    }
    std::vector<InstanceId> others;
    for (const auto* it : mMesh.Members().LiveMembers()) {
      others.emplace_back(it->mRecord.mName);
    }
    mRouter.SetInstances(InstanceId(mSelf.mName), others);
    UpdateColdShare(others, now);
  }
  UpdateStoreRole(now);
  if (mTickCount % kSettingsCheckTicks == 0 && mSettingsSource.HasChanged()) {
    Reload();
  }
  UpdateReadiness();
  mRecorder.Tick(now);
  LogRefusedParts();
  LogPartition();
  LogConfigLag(now);
  mContext.mWaiters.Run(mRouter, now);
  LogAdmission(now);
  ApplyZoneChanges();
  mLoadView.Check(mRouter, mLog, now);
  if (mTickCount % kCallerReportTicks == 0) {
    ReportCallers();
  }
}

/** Logs when requests to a service begin to wait here and when none has waited for a while. */
void RelayRuntime::LogAdmission(TimePoint aNow)
{
  for (const auto& it : mRouter.Admission().TakeChanges(aNow)) {
    if (it.mIsWaiting) {
      mLog.Write({ &kAdmissionBegun, { { "service", it.mService.Value() } } });
      continue;
    }
    mLog.Write({ &kAdmissionEnded,
                 { { "service", it.mService.Value() },
                   { "waits", std::to_string(it.mWaits) },
                   { "refusals", std::to_string(it.mRefusals) },
                   { "top_team", it.mTopTeam } } });
  }
}

void RelayRuntime::ReportCallers()
{
  CallerReport report(mLog, mMetrics);
  report.Write(mCallerGuard->mBudget, "callers");
  report.Write(mPeerServer.Budget(), "peers");
  report.Write(mReadyServer.Budget(), "ready");
  report.Write(mMetricsServer.Budget(), "metrics");
}

/** Logs which zones are avoided, and closes the idle connections to these: a request on one would
    have to wait for its answer before it is known to be lost. */
void RelayRuntime::ApplyZoneChanges()
{
  for (const auto& it : mRouter.Zones().TakeChanges()) {
    mLog.Write(
      { it.mIsAvoided ? &kZoneAvoided : &kZoneReached,
        { { "zone", it.mZone.Value() }, { "endpoints", std::to_string(it.mEndpoints) } } });
    mMetrics.Set(
      "skylarkchute_zone_avoided", "zone=\"" + it.mZone.Value() + "\"", it.mIsAvoided ? 1 : 0);
    if (!it.mIsAvoided) {
      continue;
    }
    for (const auto& [id, row] : mRouter.Endpoints().All()) {
      if (row.mEntry.mZone == it.mZone) {
        mPool.CloseIdleConnections(id);
      }
    }
  }
  for (const auto& it : mRouter.Zones().TakeCutOffServices()) {
    mLog.Write({ &kServiceCutOff, { { "service", it.Value() } } });
  }
}

/** Tells the router which instances may be alive, and logs what this changes for cold endpoints. */
void RelayRuntime::UpdateColdShare(const std::vector<InstanceId>& aLive, TimePoint aNow)
{
  if (!mSettings.mBounds.mCold) {
    return;
  }
  InstanceBound::View view{ InstanceId(mSelf.mName), aLive };
  if (mMirror.IsKnown(ObjectKind::Instances)) {
    auto& listed = view.mListed.emplace();
    for (const auto& it : mMirror.Snapshot(ObjectKind::Instances).mObjects) {
      listed.emplace_back(it.mName);
    }
  }
  view.mHasContacts =
    std::any_of(mSettings.mSeeds.begin(),
                mSettings.mSeeds.end(),
                [this](const std::string& aAddress) { return aAddress != mSettings.mPeerAddress; });
  mRouter.UpdateInstanceBound(view, aNow);
  const bool isUnknown = mRouter.IsColdShareUnknown();
  if (std::exchange(mWasColdShareUnknown, isUnknown) != isUnknown) {
    mLog.Write({ isUnknown ? &kColdShareUnknown : &kColdShareKnown,
                 { { "live", std::to_string(aLive.size() + 1) } } });
  }
  for (const auto& [id, time] : mRouter.TakeBecameCold(aNow)) {
    mLog.Write({ &kEndpointCold,
                 { { "endpoint", id.Value() }, { "for_ms", std::to_string(time.count()) } } });
  }
}

void RelayRuntime::LogPartition()
{
  const bool isPartitioned = mRouter.Forwarding().IsPartitioned();
  if (std::exchange(mWasPartitioned, isPartitioned) != isPartitioned) {
    mLog.Write({ isPartitioned ? &kEndpointsUnreachable : &kEndpointsReached, {} });
  }
}

void RelayRuntime::LogConfigLag(TimePoint aNow)
{
  mConfigLag.OnInForce(mSync.ConfigVersion());
  if (const auto report = mConfigLag.TakeReport(aNow)) {
    mLog.Write({ &kConfigBehind,
                 { { "version", std::to_string(mSync.ConfigVersion()) },
                   { "newest", std::to_string(report->mVersion) },
                   { "from", report->mInstance },
                   { "lag_ms", std::to_string(report->mLag.count()) } } });
  }
}

void RelayRuntime::LogRefusedParts()
{
  for (const auto& it : mRouter.PartSuspects().TakeNewRefusals()) {
    mLog.Write(
      { &kPromptPartRefused,
        { { "part", std::to_string(it.mPart) }, { "crashes", std::to_string(it.mCrashes) } } });
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
  if (mStoreFollower.IsFollowing()) {
    mStoreFollower.Relist();
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

/** Releases the requests that wait at startup once the state is known. */
void RelayRuntime::StopHoldingIfStateKnown()
{
  if (IsStateKnown()) {
    mRouter.Endpoints().AllowUse();
    mStartupQueue.StopHolding();
  }
}

} // namespace skylarkchute
