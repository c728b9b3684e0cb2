#pragma once

#include "../http/StandInServer.h"

#include <mutex>

namespace skylarkchute::standins {

/** Simulates the rating service. Gives the good responses of the engine stand-in a high rating.
    @see docs/STANDINS.md for its protocol and switches */
class RatingStandIn
{
public:
  /** @param aPort  TCP port; zero selects a free port */
  explicit RatingStandIn(std::uint16_t aPort);

  std::uint16_t Port() const { return mServer.Port(); }

  /** Sets switches from a JSON object, like `PUT /standin/switches`. */
  void UpdateSwitches(const std::string& aJson);

  /** Returns the number of rating requests received, including failed ones. */
  std::uint64_t RatingRequests() const;

private:
  using Request = Poco::Net::HTTPServerRequest;
  using Response = Poco::Net::HTTPServerResponse;

  void Handle(Request& aRequest, Response& aResponse);
  void HandleRating(Request& aRequest, Response& aResponse);

  mutable std::mutex mMutex;
  Json::Value mSwitches;
  std::uint64_t mRatingRequests = 0;
  StandInServer mServer;
};

} // namespace skylarkchute::standins
