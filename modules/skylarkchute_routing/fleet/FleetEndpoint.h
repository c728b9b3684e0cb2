#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace skylarkchute {

/** An endpoint's entry in the platform's endpoint list. */
struct FleetEndpoint
{
  EndpointId mId;
  ServiceName mService;
  std::string mAddress; /**< `IP:PORT`; reassigned to another endpoint some time after the end. */
  ZoneName mZone;
  std::string mVersion; /**< Software version; rollouts refer to it. */
  std::uint32_t mSlots = 0;
  bool mDraining = false;
  std::chrono::milliseconds mRemainingWarmup{ 0 }; /**< Remaining warm-up time, while it is slow. */
  std::uint64_t mIncarnationStart =
    0; /**< Start of this incarnation; differs when an id is reused. */
};

} // namespace skylarkchute
