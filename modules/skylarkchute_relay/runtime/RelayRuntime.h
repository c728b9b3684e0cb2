#pragma once

#include "../callers/CallerReport.h"
#include "../callers/CallerServer.h"
#include "../callers/ControlServer.h"
#include "../peers/ConfigExchange.h"
#include "../peers/ConfigLag.h"
#include "../peers/DepartureExchange.h"
#include "../peers/LoadExchange.h"
#include "../peers/PeerMesh.h"
#include "../store/StoreFollower.h"
#include "FleetSync.h"
#include "LoadViewMonitor.h"
#include "SettingsSource.h"
#include "StoreRecorder.h"

#include <boost/asio/signal_set.hpp>
#include <skylarkchute_peers/following/StoreFollowing.h>

#include <optional>

namespace skylarkchute {

/** One relay process: on a single event loop it serves callers, mirrors the platform's store and
    exchanges state with the other instances. */
class RelayRuntime final
  : public PeerMeshOwner
  , public StoreFollowerOwner
{
public:
  /** @param aIncarnation  random part of the incarnation id; has to differ in each process
      @param aSource       read again after SIGHUP and when it has changed; has to outlive the
                           runtime */
  RelayRuntime(RelaySettings aSettings, const std::string& aIncarnation, SettingsSource& aSource);
  ~RelayRuntime() override;

  /** Serves until SIGTERM or SIGINT, then until requests in progress have ended or the grace period
      is nearly over.
      @returns false when a listen address is not valid or cannot be bound */
  bool Run();

private:
  using ErrorCode = boost::system::error_code;

  void FillExchange(PeerExchange& aExchange,
                    const KnownKinds* aKnown,
                    std::size_t aMaxBytes) override;
  void OnExchange(const PeerExchange& aExchange) override;
  bool IsBehind(const KnownKinds& aKinds) const override;
  void OnPeerChanged(const MemberChange& aChange) override;
  void OnStoreAnswered() override;
  ListOrigin OriginOfList() const override;

  void OnObject(ObjectKind aKind, const StoreObject& aObject);
  void OnHandlerFailed(const std::string& aReason);
  bool Listen();
  bool IsReady() const;
  bool IsStateKnown() const;
  ControlResponse AnswerReady(const ControlRequest& aRequest) const;
  ControlResponse AnswerPeer(const ControlRequest& aRequest);
  ControlResponse AnswerMetrics(const ControlRequest& aRequest);
  ControlResponse AnswerStatus();
  ControlResponse AnswerExplain(const ControlRequest& aRequest) const;

  void WaitForSignal();
  void Reload();
  void LogDefaultedSettings(const RelaySettings& aSettings) const;
  void BeginStop();
  void CheckStopped();
  void EndRequests();

  void ScheduleTick();
  void RecordLoopDelay();
  void Tick();
  void DetectPause(TimePoint aNow);
  void UpdateReadiness();
  void StopHoldingIfStateKnown();
  void UpdateStoreRole(TimePoint aNow);
  void LogNewEra();
  void LogRefusedParts();
  void LogPartition();
  void LogConfigLag(TimePoint aNow);
  void LogAdmission(TimePoint aNow);
  void ReportCallers();
  void ApplyZoneChanges();
  void UpdateColdShare(const std::vector<InstanceId>& aLive, TimePoint aNow);
  void SpreadChanges(ChangeSpread::Source aSource);

  RelaySettings mSettings;
  SettingsSource& mSettingsSource;
  MemberRecord mSelf;
  EventLog mLog;
  MetricsRegistry mMetrics;
  AnswerMemory mAnswerMemory; /**< Used by requests that live in the loop's handlers. */
  boost::asio::io_context mLoop;
  std::minstd_rand mRandom;
  FleetRouter mRouter;
  EndpointPool mPool;
  CrashProbe mCrashProbe;
  StartupQueue mStartupQueue;
  FleetSync mSync;
  StoreMirror mMirror;
  PeerMesh mMesh;
  MirrorExchange mMirrorExchange;
  ConfigExchange mConfigExchange;
  ConfigLag mConfigLag;
  DepartureExchange mDepartureExchange;
  LoadExchange mLoadExchange;
  LoadViewMonitor mLoadView;
  StoreFollowing mFollowing;
  StoreFollower mStoreFollower;
  StoreRecorder mRecorder;
  std::optional<std::uint64_t> mLoggedEra; /**< Era of the store's objects, once any are known. */
  bool mIsLeaving = false;
  bool mRefusesNew = false;
  RelayContext mContext;
  std::shared_ptr<CallerGuard> mCallerGuard;
  CallerServer mCallerServer;
  CallerServer mForwardServer;
  ControlServer mReadyServer;
  ControlServer mPeerServer;
  ControlServer mMetricsServer;
  boost::asio::signal_set mSignals;
  boost::asio::steady_timer mTickTimer;
  boost::asio::steady_timer mStopTimer;
  TimePoint mLastTick{};
  TimePoint mStopRequestedAt{};
  TimePoint mHandlerFailureLoggedAt{};
  std::uint64_t mTickCount = 0;
  bool mWasReady = false;
  bool mWasPartitioned = false;
  bool mWasColdShareUnknown = false;
};

} // namespace skylarkchute
