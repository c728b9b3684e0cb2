#pragma once

#include "FleetTable.h"

#include <string>
#include <vector>

namespace skylarkchute {

/** What placement needs to know of a request. */
struct PlacementRequest
{
  std::string mAffinity; /**< Names the longest shared part of the prompt; empty without one. */
  ZoneName mZone;        /**< Of this instance. */
  std::vector<EndpointId> mTried; /**< Endpoints that the request was sent to already. */
  std::uint64_t mDraw = 0;        /**< Random; breaks ties. */
  bool mIsRepeatable = true;      /**< Another attempt may follow one that fails. */
};

/** Chooses the endpoint of an attempt.

    Prompts go to the endpoint that rendezvous hashing gives their longest shared part, so that all
    instances find the same cache without telling each other, unless it holds clearly more than its
    part of the service's load: that answers a subject that suddenly gets much of the traffic. Other
    requests take the less loaded of the candidates, the own availability zone first while that
    costs no wait. A request that may run only once goes to an endpoint that failed lately only when
    the others are full: what it loses there is lost to its caller. */
class PlacementPolicy
{
public:
  /** @param aRows  endpoints that may get the request; none of them is changed
      @returns null when there is no candidate */
  static FleetRow* Choose(const std::vector<FleetRow*>& aRows,
                          const PlacementRequest& aRequest,
                          TimePoint aNow);
};

} // namespace skylarkchute
