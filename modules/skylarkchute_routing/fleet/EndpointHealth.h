#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>

namespace skylarkchute {

/** Health of an endpoint, derived from the outcomes of one instance's attempts.

    Covers endpoints that fail or slow down while their health check passes, so only the outcomes of
    attempts count. An endpoint whose failure rate exceeds that of the other endpoints of its
    service is avoided for exponentially growing periods until its failure rate has fallen again.
    Requests that must not run twice avoid it for longer (IsUnreliable); repeatable requests probe
    whether it has recovered. */
class EndpointHealth
{
public:
  /** Returns whether attempts may be sent, that is, whether no avoidance period is in effect. */
  bool Allows(TimePoint aNow) const { return aNow >= mAvoidUntil; }

  /** Returns whether the failure rate is so far above that of the best endpoint that a request that
      must not run twice should go elsewhere.
      @param aLowestRate  lowest failure rate among the candidate endpoints, 0 to 1 */
  bool IsUnreliable(TimePoint aNow, double aLowestRate) const;

  /** Counts a successful attempt.
      @param aRelativeLatency  time to the first byte divided by the mean of comparable requests */
  void OnSuccess(TimePoint aNow, double aRelativeLatency);

  /** Counts an attempt that ended in an error, a damaged answer, a lost connection or a timeout.
      @param aOthersRate  mean failure rate of the service's other endpoints, 0 to 1 */
  void OnFailure(TimePoint aNow, double aOthersRate);

  /** Counts a failure to connect: for an attempt, or when checking the endpoint after a connection
      was lost. The endpoint is avoided at once. */
  void OnUnreachable(TimePoint aNow);

  /** Forgets failures that were not the endpoint's: this instance was partitioned from it. */
  void OnPartitionEnded();

  /** Returns the moving failure rate of attempts, 0 to 1. It decays while nothing is sent. */
  double FailureRate(TimePoint aNow) const;

  /** Returns the moving mean of the relative latency; about 1 for an endpoint that is as fast as
      the others of its service. */
  double Slowness() const { return mSlowness; }

private:
  void Count(TimePoint aNow, bool aHasFailed);
  void Avoid(TimePoint aNow);

  double mFailureRate = 0; /**< At mCountedAt. */
  TimePoint mCountedAt{};
  double mSlowness = 1;
  std::uint32_t mAvoidances = 0; /**< Avoidance periods since the failure rate was last low. */
  TimePoint mAvoidUntil{};
};

} // namespace skylarkchute
