#pragma once

#include "../http/StandInServer.h"

#include <chrono>
#include <map>
#include <mutex>

namespace skylarkchute::standins {

/** Simulates the weight store, which limits the rate of weight loads with a token bucket.
    @see docs/STANDINS.md for its protocol and switches */
class WeightStoreStandIn
{
public:
  struct Options
  {
    std::uint16_t mPort = 0;
    double mLoadsPerSecond = 4; /**< Beyond it, loads are answered with 429. */
  };

  explicit WeightStoreStandIn(Options aOptions);

  std::uint16_t Port() const { return mServer.Port(); }

  /** Sets switches from a JSON object, like `PUT /standin/switches`. */
  void UpdateSwitches(const std::string& aJson);

  /** Returns the number of successful loads of a label. */
  std::uint64_t LoadCount(const std::string& aLabel) const;

  /** Returns the number of loads refused by the rate limit. */
  std::uint64_t RefusedLoadCount() const;

private:
  using Request = Poco::Net::HTTPServerRequest;
  using Response = Poco::Net::HTTPServerResponse;

  void Handle(Request& aRequest, Response& aResponse);
  void HandleLoad(const std::string& aLabel, Response& aResponse);
  bool TakeToken();
  Json::Value Records() const;

  Options mOptions;
  mutable std::mutex mMutex;
  Json::Value mSwitches;
  std::map<std::string, std::uint64_t> mLoads;
  std::uint64_t mRefused = 0;
  double mTokens;
  std::chrono::steady_clock::time_point mLastRefill;
  StandInServer mServer;
};

} // namespace skylarkchute::standins
