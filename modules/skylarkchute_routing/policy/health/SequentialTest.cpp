#include "SequentialTest.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace skylarkchute {

namespace {

/** Range of rates in which likelihood ratios are computed. */
constexpr double kMinRate = 0.002;
constexpr double kMaxRate = 0.98;
/** Floor of the log likelihood ratios. Limits how long earlier good results delay the detection of
    a later degradation. */
constexpr double kMinLogRatio = -5;

} // namespace

void SequentialTest::Add(std::uint64_t aTrials, std::uint64_t aEvents, const Rates& aRates)
{
  assert(aEvents <= aTrials);
  mTrials += aTrials;
  const double bound = std::max(aRates.mBound, kMinRate);
  if (bound >= kMaxRate) {
    return;
  }

  // Alternative hypotheses, from the smallest rise that matters to a version that always fails.
  const double headroom = kMaxRate - bound;
  const std::array<double, kAlternatives> rises{
    aRates.mIncrease, 2 * aRates.mIncrease, 5 * aRates.mIncrease, 0.5 * headroom, headroom,
  };
  const auto events = static_cast<double>(aEvents);
  const auto nonEvents = static_cast<double>(aTrials - aEvents);
  for (std::size_t n = 0; n < kAlternatives; ++n) {
    const double rate = bound + std::min(rises[n], headroom);
    mLogRatios[n] += events * std::log(rate / bound);
    mLogRatios[n] += nonEvents * std::log((1 - rate) / (1 - bound));
    mLogRatios[n] = std::max(mLogRatios[n], kMinLogRatio);
  }
}

double SequentialTest::LogEvidence() const
{
  const double highest = *std::max_element(mLogRatios.begin(), mLogRatios.end());
  double sum = 0;
  for (const double it : mLogRatios) {
    sum += std::exp(it - highest);
  }
  return highest + std::log(sum / static_cast<double>(kAlternatives));
}

} // namespace skylarkchute
