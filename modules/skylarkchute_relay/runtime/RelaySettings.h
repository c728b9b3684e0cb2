#pragma once

#include "CallerSettings.h"

#include <skylarkchute_routing/fleet/Fleet.h>

#include <boost/leaf.hpp>

#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** The validated settings of one relay. @see docs/SETTINGS.md */
struct RelaySettings
{
  std::string mName; /**< Of the machine; names this instance. */
  ZoneName mZone;
  std::string mCallerAddress;      /**< `IP:PORT` for callers. */
  std::string mReadyAddress;       /**< `IP:PORT` of the load balancer's readiness check. */
  std::string mPeerAddress;        /**< `IP:PORT` for other instances. */
  std::string mForwardAddress;     /**< `IP:PORT` for requests that other instances forward; empty
                                        for none, and no request is forwarded to this one. */
  std::string mMetricsAddress;     /**< `IP:PORT`; empty for none. */
  std::string mStoreAddress;       /**< `IP:PORT` of the platform's store. */
  std::vector<std::string> mSeeds; /**< Peer addresses of some instances; may be stale. */
  FleetBounds mBounds;
  /** Time within which an evacuation applies; nothing: evacuations are not followed. */
  std::optional<std::chrono::milliseconds> mEvacuationTime;
  std::chrono::milliseconds mGrace{ 0 }; /**< From the stop signal until the process is killed. */
  CallerSettings mCallers;
  /** Keys without a value that got their default, as `SECTION.KEY = DEFAULT`. */
  std::vector<std::string> mDefaulted;
  EventLevel mLogLevel = EventLevel::Info;
};

/** Validates a relay's settings. Errors are of type Faults; each names section, key and reason. */
boost::leaf::result<RelaySettings> ParseRelaySettings(const IniDocument& aDocument);

} // namespace skylarkchute
