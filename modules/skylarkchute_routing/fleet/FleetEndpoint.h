#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace skylarkchute {

/** What an endpoint's entry in the platform's list says. */
struct FleetEndpoint
{
  EndpointId mId;
  ServiceName mService;
  std::string mAddress; /**< `IP:PORT`; given to another endpoint some time after this one ended. */
  ZoneName mZone;
  std::string mVersion; /**< Of its software; rollouts name it. */
  std::uint32_t mSlots = 0;
  bool mDraining = false;
  std::chrono::milliseconds mColdRemaining{ 0 }; /**< How much longer it stays slow. */
  std::uint64_t mBorn = 0; /**< Start of this incarnation; differs when an id is used again. */
};

} // namespace skylarkchute
