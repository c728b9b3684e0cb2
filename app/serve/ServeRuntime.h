#pragma once

#include "NodeLoop.h"
#include "PeerAnswerTable.h"
#include "PeriodicThread.h"
#include "SessionTable.h"

#include <skylarkchute_platform/skylarkchute_platform.h>

#include <atomic>
#include <memory>
#include <mutex>

namespace skylarkchute {

/** Runs one entry instance: passes events to a node and executes the actions it returns. */
class ServeRuntime final : public RequestSink
{
public:
  /** Starts the servers, clients and threads. Throws Poco::Exception if an address is unusable. */
  explicit ServeRuntime(const Settings& aSettings);
  ~ServeRuntime() override;

  /** Stops gracefully: reports not ready, stops accepting connections, waits for the open requests,
      then flushes the usage records.
      @returns whether every request and usage record was completed in time */
  bool Stop();

  /** Returns the port that callers connect to. */
  std::uint16_t CallerPort() const { return mHttpEntry->Port(); }

  void Submit(std::shared_ptr<CallerSession> aSession) override;
  void OnCallerDisconnected(const RequestId& aRequest) override;
  ModelsReply ModelsFor(const std::string& aApiKey) override;
  TicketReply IssueTicket(const std::string& aApiKey) override;
  std::string StatusJson() override;
  std::string MetricsText() override;
  bool IsReady() override { return mReady; }

private:
  void ExecuteAction(const NodeAction& aAction);
  void Dispatch(const DispatchAction& aAction);
  void StartRating(const RateAction& aAction);
  void AttemptEnded(const RequestId& aRequest, const AttemptResult& aResult);
  void RecordAnswer(const RequestId& aRequest, const std::string& aVerdict);
  std::optional<std::string> ServePeer(const PeerServer::Request& aRequest);
  void ReadInstances();
  void ApplyInstances(const InstanceList& aList);
  void WriteEntryEvents();
  void AddLatencies(Json::Value& aStatus) const;
  void AddEndpoints(Json::Value& aStatus) const;

  Settings mSettings;
  SystemClock mClock;
  EventLog mLog;
  MetricsRegistry mMetrics;
  std::atomic<bool> mReady{ false };
  std::atomic<bool> mDrained{ false };
  SessionTable mSessions;
  PeerAnswerTable mPeerAnswers;
  ObjectApiClient mObjectApi;
  InstanceListClient mInstanceList;
  std::uint64_t mInstancePosition = 0;
  mutable std::mutex mEndpointsMutex;
  std::vector<EndpointRecord> mEndpoints;
  std::optional<InstanceRecord> mRatingService;
  NodeLoop mLoop;
  std::unique_ptr<PlatformCaller> mPlatform;
  std::unique_ptr<PeerClient> mPeerClient;
  std::unique_ptr<PeerServer> mPeerServer;
  std::unique_ptr<AttemptRunner> mAttemptRunner;
  std::unique_ptr<HttpEntry> mHttpEntry;
  Poco::ThreadPool mRatingPool;
  std::unique_ptr<PeriodicThread> mInstanceThread;
  std::unique_ptr<LoadPoller> mLoadPoller;
  std::unique_ptr<PeriodicThread> mEventThread;
};

} // namespace skylarkchute
