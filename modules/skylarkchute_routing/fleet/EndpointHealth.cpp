#include "EndpointHealth.h"

#include <algorithm>
#include <cmath>

namespace skylarkchute {

namespace {

/** Weight of one outcome in the moving failure rate, which thus covers about 7 outcomes. */
constexpr double kFailureWeight = 0.15;

/** Weight of one sample in the moving mean of the relative latency. */
constexpr double kSlownessWeight = 0.15;

/** An endpoint is avoided when its failure rate exceeds the mean of the others by more than this:
    two failures in quick succession, or one on top of the usual few percent. */
constexpr double kExcessFailureRate = 0.2;

/** Requests that must not run twice go elsewhere when the failure rate exceeds that of the best
    endpoint by more than this: one recent failure. */
constexpr double kUnreliableExcessRate = 0.08;

/** Below this failure rate an endpoint counts as recovered and its avoidance periods start over. */
constexpr double kHealthyFailureRate = 0.1;

/** Half-life of the failure rate in seconds, so that an endpoint without traffic is eventually
    tried again. */
constexpr std::chrono::duration<double> kFailureRateHalfLife{ 4.0 };

constexpr double kMaxSlowness = 20;
constexpr std::chrono::milliseconds kInitialAvoidance{ 400 };
constexpr std::uint32_t kMaxDoublings = 3; /**< Limits the avoidance period to 3.2 s. */

} // namespace

double EndpointHealth::FailureRate(TimePoint aNow) const
{
  const std::chrono::duration<double> age = aNow - mCountedAt;
  return mFailureRate * std::exp2(-std::max(0.0, age / kFailureRateHalfLife));
}

bool EndpointHealth::IsUnreliable(TimePoint aNow, double aLowestRate) const
{
  return FailureRate(aNow) > aLowestRate + kUnreliableExcessRate;
}

void EndpointHealth::Count(TimePoint aNow, bool aHasFailed)
{
  const double rate = FailureRate(aNow);
  mFailureRate = rate + kFailureWeight * ((aHasFailed ? 1 : 0) - rate);
  mCountedAt = aNow;
  if (mFailureRate < kHealthyFailureRate) {
    mAvoidances = 0;
  }
}

void EndpointHealth::OnSuccess(TimePoint aNow, double aRelativeLatency)
{
  Count(aNow, false);
  const double latency = std::min(aRelativeLatency, kMaxSlowness);
  mSlowness += kSlownessWeight * (latency - mSlowness);
}

void EndpointHealth::OnFailure(TimePoint aNow, double aOthersRate)
{
  Count(aNow, true);
  if (mFailureRate > aOthersRate + kExcessFailureRate) {
    Avoid(aNow);
  }
}

void EndpointHealth::OnUnreachable(TimePoint aNow)
{
  Count(aNow, true);
  Avoid(aNow);
}

void EndpointHealth::OnPartitionEnded()
{
  mFailureRate = 0;
  mAvoidances = 0;
  mAvoidUntil = TimePoint{};
}

void EndpointHealth::Avoid(TimePoint aNow)
{
  if (aNow < mAvoidUntil) {
    return;
  }
  mAvoidUntil = aNow + kInitialAvoidance * (1U << std::min(mAvoidances, kMaxDoublings));
  ++mAvoidances;
}

} // namespace skylarkchute
