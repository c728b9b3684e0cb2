#include "RateBaseline.h"

#include <algorithm>
#include <cmath>

namespace skylarkchute {

namespace {

constexpr double kRecentSpanTrials = 200;
constexpr double kLatestSpanTrials = 20;
constexpr double kLongDeviations = 3.3;
constexpr double kRecentDeviations = 2;
/** Least number of events in the latest window that may be an incident. */
constexpr double kIncidentEvents = 2.5;

double Bound(double aTrials, double aEvents, double aDeviations)
{
  const double mean = (aEvents + 1) / (aTrials + 2);
  const double spread = std::sqrt(mean * (1 - mean) / (aTrials + 2));
  return std::min(1.0, mean + aDeviations * spread);
}

} // namespace

void RateBaseline::Window::Add(double aTrials, double aEvents, double aSpan)
{
  const double keep = std::exp(-aTrials / aSpan);
  const double scale = aTrials > 0 ? aSpan * (1 - keep) / aTrials : 0;
  mTrials = mTrials * keep + aTrials * scale;
  mEvents = mEvents * keep + aEvents * scale;
}

double RateBaseline::Window::UpperBound(double aDeviations) const
{
  return Bound(mTrials, mEvents, aDeviations);
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
  mRecent.Add(trials, events, kRecentSpanTrials);
  mLatest.Add(trials, events, kLatestSpanTrials);
}

double RateBaseline::UpperBound() const
{
  if (mTrials == 0) {
    return 1;
  }
  double bound = Bound(static_cast<double>(mTrials), static_cast<double>(mEvents), kLongDeviations);
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
  return mLatest.mEvents >= std::max(kIncidentEvents, expected + kLongDeviations * spread);
}

double RateBaseline::Mean() const
{
  return (static_cast<double>(mEvents) + 1) / (static_cast<double>(mTrials) + 2);
}

} // namespace skylarkchute
