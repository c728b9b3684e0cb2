#pragma once

#include <skylarkchute_routing/fleet/Fleet.h>

#include <boost/leaf.hpp>

#include <string>
#include <vector>

namespace skylarkchute {

/** The checked settings of one relay. @see docs/SETTINGS.md */
struct RelaySettings
{
  std::string mName; /**< Of the machine. */
  ZoneName mZone;
  std::string mCallerAddress;  /**< `IP:PORT` for callers. */
  std::string mReadyAddress;   /**< `IP:PORT` that tells the balancer whether to send callers. */
  std::string mPeerAddress;    /**< `IP:PORT` for other instances. */
  std::string mMetricsAddress; /**< `IP:PORT`; empty for none. */
  std::string mStoreAddress;   /**< `IP:PORT` of the platform's store. */
  std::vector<std::string> mSeeds; /**< Peer addresses of a few instances, possibly gone. */
  FleetBounds mBounds;
  std::chrono::milliseconds mGrace{ 0 }; /**< From the order to stop until the process is killed. */
  EventLevel mLogLevel = EventLevel::Info;
};

/** Checks a relay's settings. Errors are of type Faults and name section, key and reason. */
boost::leaf::result<RelaySettings> ParseRelaySettings(const IniDocument& aDocument);

} // namespace skylarkchute
