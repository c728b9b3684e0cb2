#include "RolloutEvaluator.h"

#include <algorithm>

namespace skylarkchute {

namespace {

/** Natural logarithm of the evidence from which a version is bad. A healthy version is misjudged
    once in 1000 rollouts: half of that is left to the two tests of the sum, the other half is split
    over those of the classes, kOtherClasses among them. Those of the load trial, at most
    five, add 0.3 in 1000. */
constexpr double kBadLogEvidenceOfSum = 8.3;
constexpr double kBadLogEvidenceOfClass = 10.4;
constexpr double kBadLogEvidenceOfTrial = 9.9;

/** Answers under load that are enough to let the share grow, unless the evidence that the version
    is bad exceeds kMaxProvenLogEvidence. A version half of whose answers fail exceeds it within six
    answers. */
constexpr std::uint64_t kMinLoadedAnswers = 20;
constexpr double kMaxProvenLogEvidence = 1;

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

TrialCounts& TrialCounts::operator+=(const TrialCounts& aOther)
{
  for (std::size_t n = 0; n < mLevels.size(); ++n) {
    mLevels[n] += aOther.mLevels[n];
  }
  return *this;
}

TrialCounts operator-(const TrialCounts& aLeft, const TrialCounts& aRight)
{
  TrialCounts counts;
  for (std::size_t n = 0; n < counts.mLevels.size(); ++n) {
    counts.mLevels[n] = aLeft.mLevels[n] - aRight.mLevels[n];
  }
  return counts;
}

bool TrialCounts::Includes(const TrialCounts& aOther) const
{
  for (std::size_t n = 0; n < mLevels.size(); ++n) {
    if (!mLevels[n].Includes(aOther.mLevels[n])) {
      return false;
    }
  }
  return true;
}

void RolloutEvaluator::AddToSum(const ComparedCounts& aCounts, const TrialCounts& aTrial)
{
  const auto& ended = aTrial.mLevels.back();
  mSum.AddOlder(aCounts.mOlder);
  mSum.AddNewer(aCounts.mNewer, ended.mNewer.mAnswers);
  mAnswers += aCounts.mOlder.mAnswers + aCounts.mNewer.mAnswers;
  mNewerAnswers += aCounts.mNewer.mAnswers;
  mLoadedAnswers += ended;
  mIsBad = mIsBad || mSum.LogEvidence() >= kBadLogEvidenceOfSum;
  const bool isSlowComparable = mLoadedAnswers.mOlder.mAnswers >= kMinLoadedAnswers;
  for (std::size_t n = 0; n < mLoaded.size(); ++n) {
    // All answers of the older version show how many fail.
    mLoaded[n].AddOlderFailures(aCounts.mOlder);
    mLoaded[n].AddOlderSlow(aTrial.mLevels[n].mOlder);
    mLoaded[n].AddNewer(aTrial.mLevels[n].mNewer,
                        isSlowComparable ? 0 : aTrial.mLevels[n].mNewer.mAnswers);
    mIsBad = mIsBad || mLoaded[n].LogEvidence() >= kBadLogEvidenceOfTrial;
  }
}

bool RolloutEvaluator::IsProvenUnderLoad() const
{
  const auto isClear = [](const VersionComparison& aComparison) {
    return aComparison.LogEvidence() < kMaxProvenLogEvidence;
  };
  return mLoadedAnswers.mNewer.mAnswers >= kMinLoadedAnswers &&
         mLoadedAnswers.mOlder.mAnswers >= kMinLoadedAnswers &&
         std::all_of(mLoaded.begin(), mLoaded.end(), isClear);
}

void RolloutEvaluator::AddToClass(RouteClass aClass, const ComparedCounts& aCounts)
{
  auto& comparison = EntryOfClass(mClasses, aClass);
  comparison.AddOlder(aCounts.mOlder);
  comparison.AddNewer(aCounts.mNewer);
  mIsBad = mIsBad || comparison.LogEvidence() >= kBadLogEvidenceOfClass;
}

} // namespace skylarkchute
