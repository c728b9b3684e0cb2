#pragma once

#include <cstdint>

namespace skylarkchute {

/** Estimates the rate of an event, over all trials and over recent ones.

    The upper bound follows a sudden rise within a few dozen trials and decreases slowly, so that an
    incident that affects both versions is not attributed to the newer one. */
class RateBaseline
{
public:
  /** Adds a batch of @p aTrials trials with @p aEvents events. */
  void Add(std::uint64_t aTrials, std::uint64_t aEvents);

  /** Returns an upper confidence bound of the rate, 0 to 1; 1 before any trial. */
  double UpperBound() const;

  /** Returns the mean rate over all trials, shrunk towards 0.5 when there are few. */
  double Mean() const;

  std::uint64_t Trials() const { return mTrials; }

private:
  /** Trials and events, weighted exponentially by age in trials. */
  struct Window
  {
    double mTrials = 0;
    double mEvents = 0;

    void Add(double aTrials, double aEvents, double aWindowTrials);
    double UpperBound(double aDeviations) const;
  };

  bool IsIncident() const;

  std::uint64_t mTrials = 0;
  std::uint64_t mEvents = 0;
  Window mRecent;
  Window mLatest;
};

} // namespace skylarkchute
