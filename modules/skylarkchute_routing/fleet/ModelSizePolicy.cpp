#include "ModelSizePolicy.h"

namespace skylarkchute {

namespace {

/** An answer below this confidence is asked again of the largest model. */
constexpr double kSureConfidence = 60;

} // namespace

std::size_t ModelSizePolicy::First(const SizeQuestion& aQuestion)
{
  const bool hasCascade = aQuestion.mSizes > 1 && aQuestion.mAttemptsLeft > 1;
  const bool hasTime = aQuestion.mToTarget > 2 * aQuestion.mExpected;
  if (!aQuestion.mIsContinuation && hasCascade && hasTime) {
    return 0;
  }
  return aQuestion.mSizes - 1;
}

bool ModelSizePolicy::AsksLarger(const SizeQuestion& aQuestion,
                                 std::size_t aSize,
                                 double aConfidence)
{
  if (aSize + 1 >= aQuestion.mSizes || aQuestion.mAttemptsLeft == 0) {
    return false;
  }
  return aConfidence < kSureConfidence && aQuestion.mToTarget > aQuestion.mExpected;
}

} // namespace skylarkchute
