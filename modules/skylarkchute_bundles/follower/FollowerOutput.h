#pragma once

#include "PeerMessages.h"

#include <vector>

namespace skylarkchute {

/** The actions that a BundleFollower requests after an input. */
struct FollowerOutput
{
  std::vector<ObjectCall> mCalls;
  std::vector<PeerPartsRequest> mPeerRequests;
  bool mBundleChanged = false; /**< Current() returns a new bundle. */
  std::vector<LogEvent> mEvents;
};

/** One live entry instance of the fleet. */
struct FleetMember
{
  InstanceId mId;
  ZoneName mZone;
  friend bool operator==(const FleetMember&, const FleetMember&) = default;
};

} // namespace skylarkchute
