#include "RolloutEvaluator.h"

namespace skylarkchute {

namespace {

/** Natural logarithm of the evidence from which a version is bad. A healthy version is misjudged
    once in 1000 rollouts: half of that is left to the two tests of the sum, the other half is split
    over those of the classes, kOtherClasses among them. */
constexpr double kBadLogEvidenceOfSum = 8.3;
constexpr double kBadLogEvidenceOfClass = 10.4;

} // namespace

ComparedCounts& ComparedCounts::operator+=(const ComparedCounts& aOther)
{
  mOlder += aOther.mOlder;
  mNewer += aOther.mNewer;
  return *this;
}

ComparedCounts operator-(const ComparedCounts& aLeft, const ComparedCounts& aRight)
{
  return { aLeft.mOlder - aRight.mOlder, aLeft.mNewer - aRight.mNewer };
}

void RolloutEvaluator::AddToSum(const ComparedCounts& aCounts)
{
  mSum.AddOlder(aCounts.mOlder);
  mSum.AddNewer(aCounts.mNewer);
  mNewerAnswers += aCounts.mNewer.mAnswers;
  mIsBad = mIsBad || mSum.LogEvidence() >= kBadLogEvidenceOfSum;
}

void RolloutEvaluator::AddToClass(RouteClass aClass, const ComparedCounts& aCounts)
{
  auto& comparison = EntryOfClass(mClasses, aClass);
  comparison.AddOlder(aCounts.mOlder);
  comparison.AddNewer(aCounts.mNewer);
  mIsBad = mIsBad || comparison.LogEvidence() >= kBadLogEvidenceOfClass;
}

} // namespace skylarkchute
