#pragma once

#include "../http/StandInServer.h"

#include <mutex>

namespace skylarkchute::standins {

/** Stands in for the rating service: rates the good answers of the engine stand-in high.
    docs/STANDINS.md gives its protocol and switches. */
class RatingStandIn
{
public:
  /** @param aPort  zero takes any free port */
  explicit RatingStandIn(std::uint16_t aPort);

  std::uint16_t Port() const { return mServer.Port(); }

  /** Sets switches as `PUT /standin/switches` does. */
  void Switch(const std::string& aJson);

  /** Returns how many ratings were asked for. */
  std::uint64_t Asked() const;

private:
  using Request = Poco::Net::HTTPServerRequest;
  using Response = Poco::Net::HTTPServerResponse;

  void Handle(Request& aRequest, Response& aResponse);
  void HandleRating(Request& aRequest, Response& aResponse);

  mutable std::mutex mMutex;
  Json::Value mSwitches;
  std::uint64_t mAsked = 0;
  StandInServer mServer;
};

} // namespace skylarkchute::standins
