#pragma once

#include "../http/StandInServer.h"
#include "UsersStore.h"

#include <atomic>
#include <set>

namespace skylarkchute::standins {

/** Stands in for the store of the users' platform: lists, watches and conditional writes by HTTP.
    Entries of endpoints that were not renewed lapse. docs/STANDINS.md gives its protocol and
    switches. */
class UsersStoreStandIn
{
public:
  struct Options
  {
    std::uint16_t mPort = 0;
  };

  explicit UsersStoreStandIn(Options aOptions);
  ~UsersStoreStandIn();

  UsersStoreStandIn(const UsersStoreStandIn&) = delete;
  UsersStoreStandIn& operator=(const UsersStoreStandIn&) = delete;

  std::uint16_t Port() const { return mServer.Port(); }

private:
  using Request = Poco::Net::HTTPServerRequest;
  using Response = Poco::Net::HTTPServerResponse;

  void Handle(Request& aRequest, Response& aResponse);
  void HandleControl(Request& aRequest, Response& aResponse);
  UsersStore::Outcome Call(Request& aRequest);
  UsersStore::Outcome Read(const std::string& aKind,
                           const std::string& aName,
                           const Request& aRequest);
  void NoteRenewal(const std::string& aKind, const std::string& aName);
  void DropLapsed();

  UsersStore mStore;
  std::mutex mMutex;
  Json::Value mSwitches;
  std::map<std::string, std::chrono::steady_clock::time_point> mRenewed; /**< Endpoints by name. */
  std::uint64_t mCalls = 0;
  StandInServer mServer;
};

} // namespace skylarkchute::standins
