#pragma once

#include "../callers/CallerServer.h"
#include "../callers/ControlServer.h"
#include "../peers/PeerMesh.h"
#include "../store/StoreWatcher.h"
#include "../store/StoreWriter.h"
#include "FleetSync.h"
#include "SettingsSource.h"

#include <boost/asio/signal_set.hpp>

#include <optional>
#include <set>

namespace skylarkchute {

/** One relay: a single loop that serves callers, follows the platform's store, and keeps in touch
    with the other instances. */
class RelayRuntime final
  : public PeerMeshOwner
  , public StoreHealthListener
{
public:
  /** @param aIncarnation  random part, never used before
      @param aSource       read again after SIGHUP and when it has changed; outlives the runtime */
  RelayRuntime(RelaySettings aSettings, const std::string& aIncarnation, SettingsSource& aSource);
  ~RelayRuntime() override;

  /** Serves until the process is told to stop and what was under way has ended.
      @returns false when an address cannot be listened on */
  bool Run();

private:
  using ErrorCode = boost::system::error_code;

  PeerExchange MakeExchange(const std::map<ObjectKind, KindState>* aKnown) override;
  void OnExchange(const PeerExchange& aExchange) override;
  void OnPeerChanged(const std::string& aName, bool aIsLive) override;
  void OnStoreAnswer(ObjectKind aKind) override;
  void OnStoreFailure(ObjectKind aKind, const std::string& aReason) override;

  bool Listen();
  bool IsReady() const;
  ControlAnswer AnswerReady(const ControlRequest& aRequest) const;
  ControlAnswer AnswerPeer(const ControlRequest& aRequest);
  ControlAnswer AnswerMetrics(const ControlRequest& aRequest);
  ControlAnswer AnswerStatus();

  void WaitForSignal();
  void Reload();
  void BeginStop();
  void CheckStopped();

  void ScheduleTick();
  void Tick();
  void DetectPause(TimePoint aNow);
  void NoteReady();
  void OpenWhenKnown();
  void Register();
  void RemoveDeadInstances(TimePoint aNow);
  void DriveRollouts(TimePoint aNow);
  std::size_t RankFor(const std::string& aKey, TimePoint aNow) const;

  RelaySettings mSettings;
  SettingsSource& mSettingsSource;
  InstanceEntry mSelf;
  EventLog mLog;
  MetricsRegistry mMetrics;
  boost::asio::io_context mLoop;
  std::minstd_rand mRandom;
  FleetRouter mRouter;
  EndpointPool mPool;
  CrashProbe mCrashProbe;
  StartQueue mStartQueue;
  FleetSync mSync;
  StoreMirror mMirror;
  PeerMesh mMesh;
  StoreWriter mWriter;
  std::vector<std::shared_ptr<StoreWatcher>> mWatchers;
  bool mIsLeaving = false;
  bool mRefusesNew = false;
  RelayContext mContext;
  CallerServer mCallers;
  ControlServer mReady;
  ControlServer mPeers;
  ControlServer mMetricsServer;
  boost::asio::signal_set mSignals;
  boost::asio::steady_timer mTickTimer;
  boost::asio::steady_timer mStopTimer;
  std::set<ObjectKind> mFailedKinds; /**< Kinds whose last call the store did not serve. */
  TimePoint mLastTick{};
  TimePoint mStopAt{};
  TimePoint mNextRegister{};
  std::uint64_t mTicks = 0;
  bool mWasReady = false;
};

} // namespace skylarkchute
