#pragma once

#include <boost/asio/io_context.hpp>
#include <skylarkchute_routing/fleet/Fleet.h>

#include <optional>
#include <set>

namespace skylarkchute {

/** Checks whether an endpoint is down after a request lost its connection to it. Opens one TCP
    connection, sends nothing on it, and reports either result to the router. */
class CrashProbe
{
public:
  /** @param aRouter  receives the results; must outlive all pending work of @p aLoop */
  CrashProbe(boost::asio::io_context& aLoop, FleetRouter& aRouter, const EventLog& aLog);

  /** Probes the endpoint of an attempt that lost its connection before its answer got far, unless a
      probe of the same incarnation is already running. */
  void OnConnectionLost(const AttemptPlan& aAttempt);

private:
  class Connection;

  void OnProbeResult(const EndpointId& aEndpoint,
                     const std::string& aIncarnation,
                     std::optional<bool> aIsReachable);

  boost::asio::io_context& mLoop;
  FleetRouter& mRouter;
  const EventLog& mLog;
  std::set<std::string> mActiveProbes; /**< Endpoint incarnations being probed. */
};

} // namespace skylarkchute
