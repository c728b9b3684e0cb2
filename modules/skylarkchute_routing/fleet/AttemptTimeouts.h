#pragma once

#include "FleetTable.h"
#include "LatencyBaseline.h"
#include "RelayRequest.h"

#include <optional>

namespace skylarkchute {

/** Timeouts of attempts, by the usual latencies and the utilization of the service. */
class AttemptTimeouts
{
public:
  /** Both must outlive the object. */
  AttemptTimeouts(const LatencyBaseline& aLatencies, const FleetTable& aEndpoints)
    : mLatencies(aLatencies)
    , mEndpoints(aEndpoints)
  {
  }

  /** @see FleetRouter::FirstByteTimeout */
  std::optional<std::chrono::milliseconds> FirstByteTimeout(const RequestPlan& aPlan,
                                                            const AttemptPlan& aAttempt,
                                                            TimePoint aNow) const;

  /** @see FleetRouter::StreamPauseTimeout */
  std::chrono::milliseconds StreamPauseTimeout(const RequestPlan& aPlan, TimePoint aNow) const;

private:
  const LatencyBaseline& mLatencies;
  const FleetTable& mEndpoints;
};

} // namespace skylarkchute
