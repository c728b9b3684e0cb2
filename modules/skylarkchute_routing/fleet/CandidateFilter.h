#pragma once

#include "BrittleAdmission.h"
#include "ColdEndpointPacing.h"
#include "RelayRequest.h"

#include <functional>

namespace skylarkchute {

/** State of the router that decides on whether endpoints take a request now. */
struct CandidateLimits
{
  const BrittleAdmission& mBrittle;
  ColdEndpointPacing& mPacing;
};

/** Removes the endpoints to which an attempt at a request must not go. Performs no I/O. All
   attempts pass through it: first ones, retries, larger models, resumed streams and forwarded
   requests. */
class CandidateFilter
{
public:
  /** Sets the region of each availability zone. */
  void SetRegions(const ZoneRegions& aRegions) { mRegions = aRegions; }

  /** Removes the endpoints that must not get a request at all: those outside the regions that its
      route and its team allow. A zone without a known region is in none of them. */
  void RemoveForbidden(std::vector<FleetRow*>& aRows, const RequestPlan& aPlan) const;

  /** Returns whether a request may be forwarded to an instance: its zone is in a region that route
      and team allow, or in the region of the instance that the caller connected to.
      @param aOwn  zone of that instance, which is this one */
  bool MayForward(const RequestPlan& aPlan, const ZoneName& aOwn, const ZoneName& aPeer) const;

  /** Removes the endpoints that take no request now.
      @param aDraw  returns a random number, 0 to 1 */
  static void RemoveBusy(const CandidateLimits& aLimits,
                         std::vector<FleetRow*>& aRows,
                         const RequestPlan& aPlan,
                         const std::function<double()>& aDraw,
                         TimePoint aNow);

  /** Returns the time until one of the endpoints may take a request. */
  static std::chrono::milliseconds WaitTime(const CandidateLimits& aLimits,
                                            const std::vector<FleetRow*>& aRows,
                                            const RequestPlan& aPlan,
                                            TimePoint aNow);

  /** Records that a request is about to be sent to an endpoint. */
  static void OnRequest(const CandidateLimits& aLimits,
                        FleetRow& aRow,
                        const RequestPlan& aPlan,
                        TimePoint aNow);

private:
  bool IsAllowed(const RequestPlan& aPlan, const ZoneName& aZone) const;

  ZoneRegions mRegions;
};

} // namespace skylarkchute
