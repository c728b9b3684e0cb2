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

/** One endpoint as the instance list gives it. */
struct EndpointRecord
{
  EndpointId mId;
  std::string mAddress; /**< IP number. */
  std::uint16_t mPort = 0;
  ZoneName mZone;
  EndpointKind mKind = EndpointKind::Engine;
  ServiceName mService; /**< For plain services. */
  bool mLeaving = false;
};

/** The load that an endpoint reports of itself, with a lag. */
struct LoadReport
{
  EndpointId mEndpoint;
  std::uint32_t mRunning = 0;
  std::uint32_t mQueued = 0;
  std::uint32_t mSlots = 0;
  bool mLeaving = false;
  std::vector<std::string> mHostedLabels;
};

} // namespace skylarkchute
