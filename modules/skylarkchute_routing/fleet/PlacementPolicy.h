#pragma once

#include "FleetTable.h"

#include <string>
#include <vector>

namespace skylarkchute {

/** Properties of a request that determine its placement. */
struct PlacementRequest
{
  std::string mAffinity; /**< Id of the longest shared part of the prompt; empty if none. */
  ZoneName mZone;        /**< Availability zone of this instance. */
  std::vector<EndpointId> mTried; /**< Endpoints to exclude. @see RequestPlan::mTried */
  std::uint64_t mTieBreaker = 0;  /**< Random number that breaks ties. */
  bool mIsRetryable = true;       /**< A failed attempt may be followed by another one. */
};

/** Chooses the endpoint of an attempt.

    Rendezvous hashing assigns the longest shared part of a prompt to an endpoint, so that all
    instances use the same prompt cache without coordination. An endpoint whose load is well above
    the mean is skipped, which spreads the load of a prompt part that suddenly gets much of the
    traffic. Other requests go to the least loaded candidate, with a preference for the instance's
    own availability zone while that causes no queueing. A request that must not run twice goes to
    an endpoint with recent failures only if the others are full, because the caller cannot recover
    from its loss. */
class PlacementPolicy
{
public:
  /** @param aRows  endpoints that may receive the request; not modified
      @returns the chosen row, or null if there is no candidate */
  static FleetRow* Choose(const std::vector<FleetRow*>& aRows,
                          const PlacementRequest& aRequest,
                          TimePoint aNow);
};

} // namespace skylarkchute
