#pragma once

#include "FleetRouter.h"
#include "RouteExplanation.h"

namespace skylarkchute {

/** Explains where a request would be sent now, without any effect on the router.

    The decisions are made by FleetRouter itself, on a copy of its state: the same code and the same
    random numbers as for the next request. The copy is discarded, so that no counter, budget,
    affinity or random number of the router changes. The fingerprint of a request is not known from
    its description, so that a refusal because of crashes under this very request is not foreseen.
    Performs no I/O. */
class RouteExplainer
{
public:
  /** @param aRouter  must outlive the explainer */
  explicit RouteExplainer(const FleetRouter& aRouter) : mRouter(aRouter) {}

  /** Returns what the router would decide on a request that arrives at @p aNow. */
  RouteExplanation Explain(const RelayRequest& aRequest, TimePoint aNow) const;

private:
  void DescribeRoute(const RelayRequest& aRequest, RouteExplanation& aExplanation) const;
  void DescribeService(const CandidateTrace& aTrace,
                       TimePoint aNow,
                       RouteExplanation& aExplanation) const;
  static EndpointExplanation DescribeEndpoint(FleetRouter& aCopy, FleetRow& aRow, TimePoint aNow);

  const FleetRouter& mRouter;
};

} // namespace skylarkchute
