#include "EndpointBreaker.h"

#include <algorithm>

namespace skylarkchute {

namespace {

constexpr double kFailureRateToOpen = 0.5;
/** Weight of one attempt in the moving average. */
constexpr double kFailureRateWeight = 0.1;
constexpr std::uint32_t kMinSamples = 5;
constexpr std::uint32_t kSuccessesToResetBackoff = 20;
constexpr std::uint32_t kMaxBackoffDoublings = 6;
constexpr std::chrono::milliseconds kInitialOpenTime{ 500 };

} // namespace

bool EndpointBreaker::Allows(TimePoint aNow) const
{
  if (!mOpen) {
    return true;
  }
  return !mProbeInFlight && aNow >= mOpenUntil;
}

void EndpointBreaker::OnDispatch(TimePoint /*aNow*/)
{
  if (mOpen) {
    mProbeInFlight = true;
  }
}

void EndpointBreaker::OnSuccess()
{
  if (mOpen) {
    mOpen = false;
    mProbeInFlight = false;
    mSamples = 0;
    mFailureRate = 0;
  }
  ++mSamples;
  mFailureRate *= 1 - kFailureRateWeight;
  if (++mConsecutiveSuccesses >= kSuccessesToResetBackoff) {
    mOpeningsSinceRecovery = 0;
  }
}

bool EndpointBreaker::OnFailure(TimePoint aNow, double aJitter)
{
  mConsecutiveSuccesses = 0;
  ++mSamples;
  mFailureRate += kFailureRateWeight * (1 - mFailureRate);
  const bool rateExceeded = mSamples >= kMinSamples && mFailureRate >= kFailureRateToOpen;
  const bool probeFailed = mOpen && mProbeInFlight;
  if (!rateExceeded && !probeFailed) {
    return false;
  }
  return Open(aNow, aJitter);
}

bool EndpointBreaker::OnUnreachable(TimePoint aNow, double aJitter)
{
  mConsecutiveSuccesses = 0;
  if (mOpen && !mProbeInFlight) {
    return false;
  }
  return Open(aNow, aJitter);
}

bool EndpointBreaker::Open(TimePoint aNow, double aJitter)
{
  const bool opened = !mOpen;
  const auto openTime =
    kInitialOpenTime * (1U << std::min(mOpeningsSinceRecovery, kMaxBackoffDoublings));
  const auto jitteredOpenTime =
    std::chrono::duration_cast<std::chrono::microseconds>(openTime * (0.75 + aJitter / 2));
  mOpen = true;
  mProbeInFlight = false;
  mOpenUntil = aNow + jitteredOpenTime;
  ++mOpeningsSinceRecovery;
  return opened;
}

} // namespace skylarkchute
