#include "AttemptTimeouts.h"

#include <algorithm>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

/** The timeout for the first byte is this multiple of the mean latency, but at least
    kMinEngineFirstByteTimeout for requests whose model the router chooses and kMinFirstByteTimeout
    for all others. */
constexpr double kFirstByteTimeoutFactor = 6;
constexpr milliseconds kMinFirstByteTimeout{ 250 };
constexpr milliseconds kMinEngineFirstByteTimeout{ 1500 };

/** A stream resumes on another endpoint after a pause of this multiple of the route's largest gap
    between events, but not before kMinPauseTimeout. */
constexpr int kPauseTimeoutFactor = 2;
constexpr milliseconds kMinPauseTimeout{ 1500 };

/** From this pressure on endpoints count as full, and kFullTimeout replaces the timeouts above. It
    is shorter than the 8 s or so that callers wait for an event. */
constexpr double kFullPressure = 0.5;
constexpr milliseconds kFullTimeout{ 5000 };

} // namespace

std::optional<milliseconds> AttemptTimeouts::FirstByteTimeout(const RequestPlan& aPlan,
                                                              const AttemptPlan& aAttempt,
                                                              TimePoint aNow) const
{
  const auto& route = *aPlan.mRoute;
  if (!route.IsRetryable() || aPlan.mRuns + 1 >= aPlan.mMaxRuns) {
    return std::nullopt;
  }
  if (aAttempt.IsForwarded()) {
    return kFullTimeout;
  }
  // When all endpoints are full, another one would not answer sooner and the work would be done
  // twice.
  if (aAttempt.mSize && mEndpoints.Pressure(aPlan.mService, aNow) >= kFullPressure) {
    return kFullTimeout;
  }
  const auto usual =
    mLatencies.Mean(aAttempt.mLatencyKind, milliseconds(0)) * kFirstByteTimeoutFactor;
  const auto least = aAttempt.mSize ? kMinEngineFirstByteTimeout : kMinFirstByteTimeout;
  return std::max(least, std::chrono::duration_cast<milliseconds>(usual));
}

milliseconds AttemptTimeouts::StreamPauseTimeout(const RequestPlan& aPlan, TimePoint aNow) const
{
  const bool isFull = mEndpoints.Pressure(aPlan.mService, aNow) >= kFullPressure;
  return std::max<milliseconds>(isFull ? kFullTimeout : kMinPauseTimeout,
                                aPlan.mRoute->mMaxEventGap * kPauseTimeoutFactor);
}

} // namespace skylarkchute
