#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace skylarkchute {

/** A sequential test of whether a rate exceeds a bound; it may be read after every trial.

    The test statistic is the likelihood ratio of a mixture of higher rates against the bound. While
    the true rate is at most the bound, the ratio is a non-negative supermartingale that starts at
    one, so it reaches 1/a with a probability of at most a (Ville's inequality), however often it is
    read. Each ratio has a floor, as in a CUSUM test: from there it reaches 1/a with a
    probability of at most a times the floor, once for each return to the floor. */
class SequentialTest
{
public:
  /** Parameters for one batch of trials. They may depend on earlier batches only. */
  struct Rates
  {
    double mBound = 0;    /**< Highest healthy rate, 0 to 1. */
    double mIncrease = 0; /**< Smallest rise above the bound that matters. */
  };

  /** Adds a batch of @p aTrials trials with @p aEvents events. */
  void Add(std::uint64_t aTrials, std::uint64_t aEvents, const Rates& aRates);

  /** Returns the natural logarithm of the likelihood ratio of the mixture. */
  double LogEvidence() const;

  /** Returns the natural logarithm of the likelihood ratio of the smallest rise that matters.
      Clearly negative once the data rule out such a rise. */
  double LogSmallestRise() const { return mLogRatios.front(); }

  std::uint64_t Trials() const { return mTrials; }

private:
  static constexpr std::size_t kAlternatives = 5;

  std::array<double, kAlternatives> mLogRatios{};
  std::uint64_t mTrials = 0;
};

} // namespace skylarkchute
