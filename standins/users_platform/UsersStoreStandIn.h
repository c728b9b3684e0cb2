#pragma once

#include "../http/StandInServer.h"
#include "UsersStore.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace skylarkchute::standins {

/** Simulates the store of the users' platform: lists, watches and conditional writes over HTTP.
    Removes the entries of endpoints that stop sending heartbeats.
    @see docs/STANDINS.md for its protocol and switches */
class UsersStoreStandIn
{
public:
  struct Options
  {
    std::uint16_t mPort = 0;
    std::vector<std::uint16_t> mMorePorts; /**< On which it serves as well. */
  };

  explicit UsersStoreStandIn(const Options& aOptions);
  ~UsersStoreStandIn();

  UsersStoreStandIn(const UsersStoreStandIn&) = delete;
  UsersStoreStandIn& operator=(const UsersStoreStandIn&) = delete;

  std::uint16_t Port() const { return mServer.Port(); }

private:
  using Request = Poco::Net::HTTPServerRequest;
  using Response = Poco::Net::HTTPServerResponse;

  void Handle(Request& aRequest, Response& aResponse);
  void HandleControl(Request& aRequest, Response& aResponse);
  bool IsKindBusy(const Request& aRequest) const;
  bool RejectByPort(Request& aRequest, Response& aResponse);
  bool IsPortRejected(const Request& aRequest) const;
  bool IsBeyondRate(const Request& aRequest);
  std::optional<std::chrono::milliseconds> DelayIfLost(const Request& aRequest);
  void ExecuteUnanswered(Request& aRequest, std::chrono::milliseconds aDelay);
  bool WithholdIfLost(const Request& aRequest, const UsersStore::Outcome& aOutcome);
  bool WithholdIfSilent(std::uint64_t aSilencesAtArrival);
  UsersStore::Outcome DispatchRequest(Request& aRequest);
  UsersStore::Outcome Read(const std::string& aKind,
                           const std::string& aName,
                           const Request& aRequest);
  std::size_t PageItems();
  void RecordRenewal(const std::string& aKind, const std::string& aName);
  void RemoveExpiredEndpoints();

  UsersStore mStore;
  std::mutex mMutex;
  Json::Value mSwitches;
  std::map<std::string, std::chrono::steady_clock::time_point> mLastRenewal; /**< By endpoint. */
  std::uint64_t mCalls = 0;
  std::chrono::steady_clock::time_point mRateStart; /**< Of the second in which calls count. */
  std::uint32_t mRatedCalls = 0;
  std::uint64_t mLosableWrites = 0; /**< Of the relays, while writes are lost. */
  std::uint64_t mSilences = 0;      /**< How often the store went silent. */
  bool mIsStopping = false;
  std::condition_variable mStopped;
  StandInServer mServer;
  std::vector<std::unique_ptr<StandInServer>> mMoreServers;
};

} // namespace skylarkchute::standins
