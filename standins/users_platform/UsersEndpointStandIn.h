#pragma once

#include "../http/StandInServer.h"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace skylarkchute::standins {

/** Stands in for an endpoint of the users' platform: registers itself in the store and keeps its
    entry alive, answers requests with its seal, and streams to those that state tokens.
    docs/STANDINS.md gives its protocol and switches. */
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
    std::uint64_t mEvents = 8;                    /**< Of a stream, unless fewer are asked for. */
    std::chrono::milliseconds mEventTime{ 10 };   /**< Between events. */
    std::chrono::milliseconds mDrainTime{ 1500 }; /**< Served after `draining` was stated. */
  };

  explicit UsersEndpointStandIn(Options aOptions);

  /** States that the endpoint drains, serves on for the drain time and leaves the store. */
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
  bool RefuseNotRun(const Request& aRequest, Response& aResponse);
  std::string LoadText() const;
  Json::Value SwitchValue(const char* aName) const;
  void Heartbeat();
  int Register(const std::string& aState);
  int CallStore(const std::string& aMethod, const std::string& aTarget, const Json::Value& aBody);

  Options mOptions;
  std::int64_t mBorn;
  mutable std::mutex mMutex;
  Json::Value mSwitches;
  std::map<std::string, std::uint32_t> mRuns; /**< By the caller's request id. */
  std::atomic<std::uint32_t> mRunning{ 0 };
  std::atomic<bool> mIsLeaving{ false };
  std::uint64_t mSeq = 0;
  StandInServer mServer;
  std::thread mHeartbeat;
};

} // namespace skylarkchute::standins
