#include "EndpointHealth.h"

#include <algorithm>

namespace skylarkchute {

namespace {

constexpr double kFailureWeight = 0.15;  /**< Of one outcome in the moving share: about 7 count. */
constexpr double kSlownessWeight = 0.15; /**< Of one latency in the moving mean. */
constexpr double kExcessFailures = 0.25; /**< Above its service's share before it is avoided. */
constexpr std::uint32_t kLeastSamples = 4;
constexpr double kMostSlowness = 20;
constexpr std::chrono::milliseconds kFirstAvoidance{ 400 };
constexpr std::uint32_t kMostDoublings = 3; /**< Longest avoidance is 3.2 s. */

} // namespace

void EndpointHealth::OnSuccess(double aRelativeLatency)
{
  ++mSamples;
  mAvoidances = 0;
  mFailureRate -= kFailureWeight * mFailureRate;
  const double latency = std::min(aRelativeLatency, kMostSlowness);
  mSlowness += kSlownessWeight * (latency - mSlowness);
}

void EndpointHealth::OnFailure(TimePoint aNow, double aServiceFailureRate)
{
  ++mSamples;
  mFailureRate += kFailureWeight * (1 - mFailureRate);
  if (mSamples >= kLeastSamples && mFailureRate > aServiceFailureRate + kExcessFailures) {
    Avoid(aNow);
  }
}

void EndpointHealth::OnUnreachable(TimePoint aNow)
{
  ++mSamples;
  mFailureRate += kFailureWeight * (1 - mFailureRate);
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
