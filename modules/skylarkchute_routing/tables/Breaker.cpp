#include "Breaker.h"

#include <algorithm>

namespace skylarkchute {

namespace {

constexpr double kFailureRateToOpen = 0.5;
constexpr double kAverageWeight = 0.1;
constexpr std::uint32_t kLeastSamples = 5;
constexpr std::uint32_t kSuccessesToForget = 20;
constexpr std::uint32_t kMaxDoublings = 6;
constexpr std::chrono::milliseconds kFirstOpen{ 500 };

} // namespace

bool Breaker::Allows(TimePoint aNow) const
{
  if (!mOpen) {
    return true;
  }
  return !mProbeInFlight && aNow >= mOpenUntil;
}

void Breaker::OnDispatch(TimePoint /*aNow*/)
{
  if (mOpen) {
    mProbeInFlight = true;
  }
}

void Breaker::OnSuccess()
{
  if (mOpen) {
    mOpen = false;
    mProbeInFlight = false;
    mSamples = 0;
    mFailureRate = 0;
  }
  ++mSamples;
  mFailureRate *= 1 - kAverageWeight;
  if (++mSuccesses >= kSuccessesToForget) {
    mOpenings = 0;
  }
}

bool Breaker::OnFailure(TimePoint aNow, double aJitter)
{
  mSuccesses = 0;
  ++mSamples;
  mFailureRate += kAverageWeight * (1 - mFailureRate);
  const bool ratedBad = mSamples >= kLeastSamples && mFailureRate >= kFailureRateToOpen;
  const bool probeFailed = mOpen && mProbeInFlight;
  if (!ratedBad && !probeFailed) {
    return false;
  }
  return Open(aNow, aJitter);
}

bool Breaker::OnUnreachable(TimePoint aNow, double aJitter)
{
  mSuccesses = 0;
  if (mOpen && !mProbeInFlight) {
    return false;
  }
  return Open(aNow, aJitter);
}

bool Breaker::Open(TimePoint aNow, double aJitter)
{
  const bool opened = !mOpen;
  const auto length = kFirstOpen * (1U << std::min(mOpenings, kMaxDoublings));
  const auto spread =
    std::chrono::duration_cast<std::chrono::microseconds>(length * (0.75 + aJitter / 2));
  mOpen = true;
  mProbeInFlight = false;
  mOpenUntil = aNow + spread;
  ++mOpenings;
  return opened;
}

} // namespace skylarkchute
