#include "RolloutJudge.h"

#include <algorithm>

namespace skylarkchute {

namespace {

/** Log of the evidence at which a version is bad: a healthy one is called so once in 2000 rollouts
    and test. */
constexpr double kBadEvidence = 7.6;

constexpr double kLeastFailureBound = 0.03; /**< Failures below this part are taken as healthy. */
constexpr double kLeastSlowBound = 0.12;    /**< The tail of healthy answers is slow as well. */

/** Slow answers below this part are taken as load while the older version does not answer, which it
    is known not to after this many answers of the newer one. Bad versions are several times slower,
    so that nearly all their answers count. */
constexpr double kLoneSlowBound = 0.5;
constexpr std::uint64_t kLoneAfter = 50;

constexpr double kMostBound = 0.6; /**< Before the older version has answered. */
constexpr double kFailureIncrease = 0.08;
constexpr double kSlowIncrease = 0.15;

double BoundOf(const RateBaseline& aBaseline, double aLeast)
{
  return std::clamp(aBaseline.UpperBound(), aLeast, kMostBound);
}

} // namespace

VersionCounts& VersionCounts::operator+=(const VersionCounts& aOther)
{
  mAnswers += aOther.mAnswers;
  mFailures += aOther.mFailures;
  mSlow += aOther.mSlow;
  return *this;
}

VersionCounts operator-(const VersionCounts& aLeft, const VersionCounts& aRight)
{
  return { aLeft.mAnswers - aRight.mAnswers,
           aLeft.mFailures - aRight.mFailures,
           aLeft.mSlow - aRight.mSlow };
}

void RolloutJudge::AddOlder(const VersionCounts& aCounts)
{
  if (aCounts.mAnswers == 0) {
    return;
  }
  mNewerSinceOlder = 0;
  mFailureBaseline.Add(aCounts.mAnswers, aCounts.mFailures);
  mSlowBaseline.Add(aCounts.mAnswers, aCounts.mSlow);
}

void RolloutJudge::AddNewer(const VersionCounts& aCounts)
{
  if (aCounts.mAnswers == 0) {
    return;
  }
  mNewerAnswers += aCounts.mAnswers;
  mFailures.Add(aCounts.mAnswers,
                aCounts.mFailures,
                { BoundOf(mFailureBaseline, kLeastFailureBound), kFailureIncrease });
  mNewerSinceOlder += aCounts.mAnswers;
  const double leastSlow = mNewerSinceOlder > kLoneAfter ? kLoneSlowBound : kLeastSlowBound;
  mSlow.Add(aCounts.mAnswers, aCounts.mSlow, { BoundOf(mSlowBaseline, leastSlow), kSlowIncrease });
  mIsBad = mIsBad || mFailures.LogEvidence() >= kBadEvidence || mSlow.LogEvidence() >= kBadEvidence;
}

} // namespace skylarkchute
