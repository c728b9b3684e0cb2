#pragma once

#include "../http/StandInServer.h"

#include <map>
#include <mutex>
#include <vector>

namespace skylarkchute::standins {

/** A call that the plain service ran. */
struct ServiceCall
{
  std::string mAttempt; /**< Attempt id, from `X-Request-Id`. */
  std::string mKey;     /**< `Idempotency-Key` of the request. */
  std::string mMethod;
  std::string mPath;
  std::string mBody;
};

/** Simulates a service that is not a model engine. Records each call, so that tests can count
    duplicate runs. @see docs/STANDINS.md for its protocol and switches */
class PlainServiceStandIn
{
public:
  struct Options
  {
    std::uint16_t mPort = 0;
    std::uint32_t mSlots = 64; /**< Reported by `/v1/load`; not enforced. */
  };

  explicit PlainServiceStandIn(Options aOptions);

  std::uint16_t Port() const { return mServer.Port(); }

  /** Sets switches from a JSON object, like `PUT /standin/switches`. */
  void UpdateSwitches(const std::string& aJson);

  /** Returns every call that ran, in order of arrival. */
  std::vector<ServiceCall> Calls() const;

  /** Returns how many calls with this idempotency key ran. */
  std::size_t CountCallsByKey(const std::string& aKey) const;

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
