#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace skylarkchute {

/** A sequential test that a rate exceeds a bound, readable after every trial.

    Keeps the likelihood ratio of a mixture of higher rates against the bound. While the true rate
    is at most the bound, the ratio is a non-negative supermartingale that starts at one, so it
    reaches 1/a with a probability of at most a (Ville's inequality), however often it is read. Each
    ratio has a floor, as in a CUSUM test: from there it reaches 1/a with a probability of at most a
    times the floor, once for each return to the floor. */
class SequentialTest
{
public:
  /** Rates of one trial batch. Each may depend on earlier batches only. */
  struct Rates
  {
    double mBound = 0;    /**< Largest rate that counts as healthy. */
    double mIncrease = 0; /**< Smallest rise above the bound that matters. */
  };

  /** Counts @p aEvents events in @p aTrials trials. */
  void Add(std::uint64_t aTrials, std::uint64_t aEvents, const Rates& aRates);

  /** Returns the natural logarithm of the mixture's likelihood ratio. */
  double LogEvidence() const;

  /** Returns the logarithm of the likelihood ratio of the smallest rise that matters; strongly
      negative once the rate is known to be below it. */
  double LogSmallestRise() const { return mLogRatios.front(); }

  /** Returns the number of trials. */
  std::uint64_t Trials() const { return mTrials; }

private:
  static constexpr std::size_t kAlternatives = 5;

  std::array<double, kAlternatives> mLogRatios{};
  std::uint64_t mTrials = 0;
};

} // namespace skylarkchute
