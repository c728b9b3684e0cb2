#include "EndpointPace.h"

#include <algorithm>
#include <cmath>

namespace skylarkchute {

namespace {

/** The n-th answer counts as one part in n + kPriorAnswers, until kSettledAnswers. One instance
   gets an answer of an endpoint only every 10 s or so, so that the last few have to suffice. */
constexpr std::uint32_t kPriorAnswers = 2;
constexpr std::uint32_t kSettledAnswers = 4;

/** Limits of one relative latency and of a pace. Speeds of endpoints lie between 0.7 and 1.7, and
    endpoints with a fault are about four times as slow. */
constexpr double kMinFactor = 0.2;
constexpr double kMaxFactor = 8;

} // namespace

void EndpointPace::OnAnswer(double aRelativeLatency, TimePoint aNow)
{
  // The mean of the logarithm is not moved by single slow answers as much as the mean would be.
  const double latency = std::clamp(aRelativeLatency / Pace(aNow), kMinFactor, kMaxFactor);
  mAnswers = std::min(mAnswers + 1, kSettledAnswers);
  mLogSpeed += (std::log(latency) - mLogSpeed) / (mAnswers + kPriorAnswers);
}

void EndpointPace::OnPace(double aPace, TimePoint aAt)
{
  if (aAt >= mPaceAt) {
    mPace = std::clamp(aPace, kMinFactor, kMaxFactor);
    mPaceAt = aAt;
  }
}

double EndpointPace::Speed() const
{
  return mAnswers == 0 ? 1 : std::exp(mLogSpeed);
}

double EndpointPace::Pace(TimePoint aNow) const
{
  const auto age = aNow - mPaceAt;
  if (mPaceAt == TimePoint{} || age >= kPaceLifetime) {
    return 1;
  }
  // Reports meet an episode at any moment of it, so that the chance that it lasts falls linearly.
  const double weight = 1 - std::max(0.0, std::chrono::duration<double>(age) / kPaceLifetime);
  return 1 + weight * (mPace - 1);
}

} // namespace skylarkchute
