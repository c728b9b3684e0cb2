#include "EndpointHealth.h"

#include <algorithm>
#include <cmath>

namespace skylarkchute {

namespace {

constexpr double kFailureWeight = 0.15;  /**< Of one outcome in the moving share: about 7 count. */
constexpr double kSlownessWeight = 0.15; /**< Of one latency in the moving mean. */

/** Above the other endpoints' share of failures before it is avoided: two failures close together,
    one with the usual few in a hundred. */
constexpr double kExcessFailures = 0.2;

/** Above the best endpoint's share from which requests that may run only once go elsewhere: one
    failure lately. */
constexpr double kDoubtfulExcess = 0.08;

/** Below this share an endpoint counts as well again. */
constexpr double kWellBelow = 0.1;

/** The share halves in this time: an endpoint that gets nothing is tried again in the end. */
constexpr std::chrono::duration<double> kHalfLife{ 4.0 };

constexpr double kMostSlowness = 20;
constexpr std::chrono::milliseconds kFirstAvoidance{ 400 };
constexpr std::uint32_t kMostDoublings = 3; /**< Longest avoidance is 3.2 s. */

} // namespace

double EndpointHealth::FailureRate(TimePoint aNow) const
{
  const std::chrono::duration<double> age = aNow - mCountedAt;
  return mFailureRate * std::exp2(-std::max(0.0, age / kHalfLife));
}

bool EndpointHealth::IsDoubtful(TimePoint aNow, double aLeastRate) const
{
  return FailureRate(aNow) > aLeastRate + kDoubtfulExcess;
}

void EndpointHealth::Count(TimePoint aNow, bool aHasFailed)
{
  const double rate = FailureRate(aNow);
  mFailureRate = rate + kFailureWeight * ((aHasFailed ? 1 : 0) - rate);
  mCountedAt = aNow;
  if (mFailureRate < kWellBelow) {
    mAvoidances = 0;
  }
}

void EndpointHealth::OnSuccess(TimePoint aNow, double aRelativeLatency)
{
  Count(aNow, false);
  const double latency = std::min(aRelativeLatency, kMostSlowness);
  mSlowness += kSlownessWeight * (latency - mSlowness);
}

void EndpointHealth::OnFailure(TimePoint aNow, double aOthersRate)
{
  Count(aNow, true);
  if (mFailureRate > aOthersRate + kExcessFailures) {
    Avoid(aNow);
  }
}

void EndpointHealth::OnUnreachable(TimePoint aNow)
{
  Count(aNow, true);
  Avoid(aNow);
}

void EndpointHealth::Avoid(TimePoint aNow)
{
  if (aNow < mAvoidUntil) {
    return;
  }
  mAvoidUntil = aNow + kFirstAvoidance * (1U << std::min(mAvoidances, kMostDoublings));
  ++mAvoidances;
}

} // namespace skylarkchute
