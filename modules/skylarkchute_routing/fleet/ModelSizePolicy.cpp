#include "ModelSizePolicy.h"

#include <algorithm>
#include <array>

namespace skylarkchute {

namespace {

/** Time for a cascade as a multiple of the largest model's expected time to the first byte. Within
    it, the answer of the smallest model ends and that of the largest one begins. */
constexpr double kCascadeFactor = 1.3;

/** The required confidence, 0 to 100, and the range of pressure over which it falls to zero. */
struct RankLimits
{
  double mRequiredConfidence;
  double mPressureStart;
  double mPressureEnd;
};

/** Limits by rank of the request. Less urgent requests are also worth less relative to the cost of
    the model. */
constexpr std::array<RankLimits, 3> kRankLimits{ {
  { 65, 0.6, 1.2 },
  { 50, 0.35, 0.8 },
  { 40, 0.25, 0.6 },
} };

} // namespace

double ModelSizePolicy::RequiredConfidence(const SizeInputs& aInputs)
{
  const auto& limits = kRankLimits[std::min(aInputs.mRank, kRankLimits.size() - 1)];
  const double part =
    (limits.mPressureEnd - aInputs.mPressure) / (limits.mPressureEnd - limits.mPressureStart);
  return limits.mRequiredConfidence * std::clamp(part, 0.0, 1.0);
}

std::size_t ModelSizePolicy::FirstModel(const SizeInputs& aInputs)
{
  const auto largest = aInputs.mSizes - 1;
  if (RequiredConfidence(aInputs) <= 0) {
    return 0;
  }
  if (aInputs.mIsContinuation) {
    return largest;
  }
  const bool hasCascade = aInputs.mSizes > 1 && aInputs.mAttemptsLeft > 1;
  const bool hasTimeForLargest = aInputs.mTimeToTarget > aInputs.mExpectedLatency;
  const bool hasTimeForBoth = aInputs.mTimeToTarget > kCascadeFactor * aInputs.mExpectedLatency;
  return hasTimeForLargest && !(hasCascade && hasTimeForBoth) ? largest : 0;
}

bool ModelSizePolicy::NeedsLargerModel(const SizeInputs& aInputs,
                                       std::size_t aSize,
                                       double aConfidence)
{
  if (aSize + 1 >= aInputs.mSizes || aInputs.mAttemptsLeft == 0) {
    return false;
  }
  return aConfidence < RequiredConfidence(aInputs) &&
         aInputs.mTimeToTarget > aInputs.mExpectedLatency;
}

} // namespace skylarkchute
