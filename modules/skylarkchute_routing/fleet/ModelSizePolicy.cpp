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
  double mSureConfidence;
  double mFallsFrom;
  double mFallsTo;
};

/** Limits by rank of the request. Less urgent requests are also worth less relative to the cost of
    the model. */
constexpr std::array<RankLimits, 3> kRanks{ {
  { 65, 0.6, 1.2 },
  { 50, 0.35, 0.8 },
  { 40, 0.25, 0.6 },
} };

} // namespace

double ModelSizePolicy::SureConfidence(const SizeQuestion& aQuestion)
{
  const auto& limits = kRanks[std::min(aQuestion.mRank, kRanks.size() - 1)];
  const double part =
    (limits.mFallsTo - aQuestion.mPressure) / (limits.mFallsTo - limits.mFallsFrom);
  return limits.mSureConfidence * std::clamp(part, 0.0, 1.0);
}

std::size_t ModelSizePolicy::First(const SizeQuestion& aQuestion)
{
  const auto largest = aQuestion.mSizes - 1;
  if (SureConfidence(aQuestion) <= 0) {
    return 0;
  }
  if (aQuestion.mIsContinuation) {
    return largest;
  }
  const bool hasCascade = aQuestion.mSizes > 1 && aQuestion.mAttemptsLeft > 1;
  const bool hasTimeForOne = aQuestion.mToTarget > aQuestion.mExpected;
  const bool hasTimeForBoth = aQuestion.mToTarget > kCascadeFactor * aQuestion.mExpected;
  return hasTimeForOne && !(hasCascade && hasTimeForBoth) ? largest : 0;
}

bool ModelSizePolicy::AsksLarger(const SizeQuestion& aQuestion,
                                 std::size_t aSize,
                                 double aConfidence)
{
  if (aSize + 1 >= aQuestion.mSizes || aQuestion.mAttemptsLeft == 0) {
    return false;
  }
  return aConfidence < SureConfidence(aQuestion) && aQuestion.mToTarget > aQuestion.mExpected;
}

} // namespace skylarkchute
