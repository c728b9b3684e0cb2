#pragma once

#include "../http/StandInServer.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace skylarkchute::standins {

/** Simulates an endpoint of the users' platform. Registers itself in the store and renews the entry
    by heartbeats, adds a seal header to the responses of requests that it runs, and streams the
    response to requests with `Skylarkchute-Token-Counts`.
    @see docs/STANDINS.md for its protocol and switches */
class UsersEndpointStandIn
{
public:
  struct Options
  {
    std::uint16_t mPort = 0;
    std::uint16_t mStorePort = 0;
    std::string mId;
    std::string mService;
    std::string mZone;
    std::string mVersion = "v1";
    std::uint32_t mSlots = 16;
    std::uint64_t mEvents = 8;                    /**< Per stream, or the token limit if lower. */
    std::chrono::milliseconds mEventTime{ 10 };   /**< Interval between events. */
    std::chrono::milliseconds mDrainTime{ 1500 }; /**< Time to serve in state `draining`. */
    std::chrono::milliseconds mWarmup{ 0 };       /**< It is cold for this long after its start. */
    std::chrono::milliseconds mIdleTimeout = StandInServer::kIdleTimeout; /**< Of connections. */
    double mColdRate = 0; /**< Requests per second that it takes while cold; zero for no limit. */
    std::string mRecordFile; /**< Receives one JSON line per run; empty writes none. */
  };

  explicit UsersEndpointStandIn(Options aOptions);

  /** Sets the state `draining`, serves for Options::mDrainTime, then removes the entry from the
      store. With the switch `unregister` the entry is removed first. */
  ~UsersEndpointStandIn();

  UsersEndpointStandIn(const UsersEndpointStandIn&) = delete;
  UsersEndpointStandIn& operator=(const UsersEndpointStandIn&) = delete;

  std::uint16_t Port() const { return mServer.Port(); }

private:
  using Request = Poco::Net::HTTPServerRequest;
  using Response = Poco::Net::HTTPServerResponse;

  void Handle(Request& aRequest, Response& aResponse);
  void HandleControl(Request& aRequest, Response& aResponse);
  void Run(Request& aRequest, Response& aResponse);
  void RunStream(Request& aRequest, Response& aResponse);
  void RecordDraining();
  void RecordRun(const Request& aRequest, const std::string& aBody, bool aIsCrash);
  bool IsCrashAsked(const Request& aRequest, const std::string& aBody) const;
  void SetNoticeHeaders(Response& aResponse) const;
  std::chrono::milliseconds ColdRemaining() const;
  bool CountWhileCold();
  void WaitWhileSilent() const;
  void SendEndless(Request& aRequest, const std::string& aBegin);
  bool RefuseIfNotRunnable(const Request& aRequest, Response& aResponse);
  std::string LoadHeaderValue() const;
  Json::Value SwitchValue(const char* aName) const;
  void SendHeartbeats();
  int Register(const std::string& aState);
  int CallStore(const std::string& aMethod, const std::string& aTarget, const Json::Value& aBody);

  Options mOptions;
  std::int64_t mStartTimeMs;
  mutable std::mutex mMutex;
  Json::Value mSwitches;
  std::map<std::string, std::uint32_t> mRuns; /**< Runs by the caller's request id. */
  std::atomic<std::uint32_t> mRunning{ 0 };
  std::atomic<bool> mIsDraining{ false };
  std::chrono::steady_clock::time_point mSilentUntil;
  mutable std::condition_variable mSilenceChanged;
  std::chrono::steady_clock::time_point mColdUntil;
  std::deque<std::chrono::steady_clock::time_point> mColdArrivals; /**< In the last second. */
  std::size_t mMostWhileCold = 0; /**< Arrivals in the second with the most, while cold. */
  std::optional<std::chrono::steady_clock::time_point> mDrainAcknowledged;
  std::ofstream mRecord;
  std::uint64_t mSeq = 0; /**< Heartbeat sequence number. */
  StandInServer mServer;
  std::thread mHeartbeatThread;
};

} // namespace skylarkchute::standins
