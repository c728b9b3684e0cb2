#pragma once

#include <boost/asio/io_context.hpp>
#include <skylarkchute_routing/fleet/Fleet.h>

#include <set>

namespace skylarkchute {

/** Finds out whether an endpoint is down after a request was lost there, with one connection that
    sends nothing. Tells the suspects either way. */
class CrashProbe
{
public:
  /** @param aRouter  told of the outcome; outlives the loop's work */
  CrashProbe(boost::asio::io_context& aLoop, FleetRouter& aRouter, const EventLog& aLog);

  /** Notes a request that lost its connection before the first byte of an answer. */
  void OnLost(const RequestPlan& aPlan, const AttemptPlan& aAttempt);

private:
  class Connection;

  void OnKnown(const EndpointId& aEndpoint, const std::string& aIncarnation, bool aIsUp);

  boost::asio::io_context& mLoop;
  FleetRouter& mRouter;
  const EventLog& mLog;
  std::set<std::string> mUnderWay; /**< Incarnations that are being asked. */
};

} // namespace skylarkchute
