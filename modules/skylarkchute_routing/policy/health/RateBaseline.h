#pragma once

#include <cstdint>

namespace skylarkchute {

/** Estimates how often an event occurs, over all trials and over recent ones.

    The upper bound follows a sudden rise within a few dozen trials and falls back slowly, so that
    an incident common to both versions is not held against the newer one. */
class RateBaseline
{
public:
  /** Counts @p aEvents events in @p aTrials trials. */
  void Add(std::uint64_t aTrials, std::uint64_t aEvents);

  /** Returns an upper confidence bound of the rate, 1 before any trial. */
  double UpperBound() const;

  /** Returns the mean rate over all trials, shrunk towards one half when there are few. */
  double Mean() const;

  /** Returns the number of trials. */
  std::uint64_t Trials() const { return mTrials; }

private:
  /** Trials and events weighted by an exponential window counted in trials. */
  struct Window
  {
    double mTrials = 0;
    double mEvents = 0;

    void Add(double aTrials, double aEvents, double aSpan);
    double UpperBound(double aDeviations) const;
  };

  bool IsIncident() const;

  std::uint64_t mTrials = 0;
  std::uint64_t mEvents = 0;
  Window mRecent;
  Window mLatest;
};

} // namespace skylarkchute
