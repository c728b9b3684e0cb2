#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <string>
#include <vector>

namespace skylarkchute {

enum class EndpointKind
{
  Engine,
  Service,
};

/** An endpoint from the platform's instance list. */
struct EndpointRecord
{
  EndpointId mId;
  std::string mAddress; /**< IP address. */
  std::uint16_t mPort = 0;
  ZoneName mZone;
  EndpointKind mKind = EndpointKind::Engine;
  ServiceName mService; /**< Set for plain services only. */
  bool mLeaving = false;
};

/** The load that an endpoint reports about itself. Reports arrive with a delay. */
struct LoadReport
{
  EndpointId mEndpoint;
  std::uint32_t mRunning = 0; /**< Requests. */
  std::uint32_t mQueued = 0;  /**< Requests. */
  std::uint32_t mSlots = 0;   /**< Requests that can run at once. */
  bool mLeaving = false;
  std::vector<std::string> mHostedLabels;
};

} // namespace skylarkchute
