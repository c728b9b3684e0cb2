#include "SequentialTest.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace skylarkchute {

namespace {

constexpr double kLowestRate = 0.002;
constexpr double kHighestRate = 0.98;
/** Good evidence counts no further, so that a version that turns bad later is found as soon. */
constexpr double kLogFloor = -5;

} // namespace

void SequentialTest::Add(std::uint64_t aTrials, std::uint64_t aEvents, const Rates& aRates)
{
  assert(aEvents <= aTrials);
  mTrials += aTrials;
  const double bound = std::max(aRates.mBound, kLowestRate);
  if (bound >= kHighestRate) {
    return;
  }

  // Alternatives from the smallest rise that matters to a version that always fails.
  const double room = kHighestRate - bound;
  const std::array<double, kAlternatives> rises{
    aRates.mIncrease, 2 * aRates.mIncrease, 5 * aRates.mIncrease, 0.5 * room, room,
  };
  const auto events = static_cast<double>(aEvents);
  const auto others = static_cast<double>(aTrials - aEvents);
  for (std::size_t n = 0; n < kAlternatives; ++n) {
    const double rate = bound + std::min(rises[n], room);
    mLogRatios[n] += events * std::log(rate / bound);
    mLogRatios[n] += others * std::log((1 - rate) / (1 - bound));
    mLogRatios[n] = std::max(mLogRatios[n], kLogFloor);
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
