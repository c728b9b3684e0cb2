#pragma once

#include "../http/StandInServer.h"

#include <map>
#include <mutex>
#include <vector>

namespace skylarkchute::standins {

/** One call that a plain service ran. */
struct ServiceCall
{
  std::string mAttempt;
  std::string mKey;
  std::string mMethod;
  std::string mPath;
  std::string mBody;
};

/** Stands in for a plain service and records each call, so that doubles can be counted.
    docs/STANDINS.md gives its protocol and switches. */
class PlainServiceStandIn
{
public:
  struct Options
  {
    std::uint16_t mPort = 0;
    std::uint32_t mSlots = 64; /**< As reported by `/v1/load`. */
  };

  explicit PlainServiceStandIn(Options aOptions);

  std::uint16_t Port() const { return mServer.Port(); }

  /** Sets switches as `PUT /standin/switches` does. */
  void Switch(const std::string& aJson);

  /** Returns every call that ran, in order. */
  std::vector<ServiceCall> Calls() const;

  /** Returns how many calls with this key ran. */
  std::size_t CallsOfKey(const std::string& aKey) const;

private:
  using Request = Poco::Net::HTTPServerRequest;
  using Response = Poco::Net::HTTPServerResponse;

  void Handle(Request& aRequest, Response& aResponse);
  void HandleCall(Request& aRequest, Response& aResponse);
  void HandleControl(Request& aRequest, Response& aResponse);
  Json::Value SwitchValue(const char* aName) const;

  Options mOptions;
  mutable std::mutex mMutex;
  Json::Value mSwitches;
  std::vector<ServiceCall> mCalls;
  std::uint32_t mRunning = 0;
  StandInServer mServer;
};

} // namespace skylarkchute::standins
