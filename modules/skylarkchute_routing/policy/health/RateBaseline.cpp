#include "RateBaseline.h"

#include <algorithm>
#include <cmath>

namespace skylarkchute {

namespace {

/** Lengths of the exponential windows, in trials. */
constexpr double kRecentWindowTrials = 200;
constexpr double kLatestWindowTrials = 20;
/** Half-widths of the confidence bounds, in standard errors. */
constexpr double kOverallDeviations = 3.3;
constexpr double kRecentDeviations = 2;
/** Minimum weight of events in the latest window for an incident. */
constexpr double kMinIncidentEvents = 2.5;

double UpperConfidenceBound(double aTrials, double aEvents, double aDeviations)
{
  const double mean = (aEvents + 1) / (aTrials + 2);
  const double spread = std::sqrt(mean * (1 - mean) / (aTrials + 2));
  return std::min(1.0, mean + aDeviations * spread);
}

} // namespace

void RateBaseline::Window::Add(double aTrials, double aEvents, double aWindowTrials)
{
  const double decay = std::exp(-aTrials / aWindowTrials);
  const double scale = aTrials > 0 ? aWindowTrials * (1 - decay) / aTrials : 0;
  mTrials = mTrials * decay + aTrials * scale;
  mEvents = mEvents * decay + aEvents * scale;
}

double RateBaseline::Window::UpperBound(double aDeviations) const
{
  return UpperConfidenceBound(mTrials, mEvents, aDeviations);
}

void RateBaseline::Add(std::uint64_t aTrials, std::uint64_t aEvents)
{
  if (aTrials == 0) {
    return;
  }
  mTrials += aTrials;
  mEvents += aEvents;
  const auto trials = static_cast<double>(aTrials);
  const auto events = static_cast<double>(aEvents);
  mRecent.Add(trials, events, kRecentWindowTrials);
  mLatest.Add(trials, events, kLatestWindowTrials);
}

double RateBaseline::UpperBound() const
{
  if (mTrials == 0) {
    return 1;
  }
  double bound = UpperConfidenceBound(
    static_cast<double>(mTrials), static_cast<double>(mEvents), kOverallDeviations);
  bound = std::max(bound, mRecent.UpperBound(kRecentDeviations));
  if (IsIncident()) {
    bound = std::max(bound, mLatest.UpperBound(kRecentDeviations));
  }
  return bound;
}

bool RateBaseline::IsIncident() const
{
  const double mean = Mean();
  const double spread = std::sqrt(mean * (1 - mean) * mLatest.mTrials);
  const double expected = mean * mLatest.mTrials;
  return mLatest.mEvents >= std::max(kMinIncidentEvents, expected + kOverallDeviations * spread);
}

double RateBaseline::Mean() const
{
  return (static_cast<double>(mEvents) + 1) / (static_cast<double>(mTrials) + 2);
}

} // namespace skylarkchute
