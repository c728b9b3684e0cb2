#include "VersionComparison.h"

#include <algorithm>

namespace skylarkchute {

namespace {

/** Failure rates up to this count as healthy. */
constexpr double kMinFailureBound = 0.03;

/** Rates of slow answers up to this count as healthy, because the latency tail of a healthy version
    is slow as well. */
constexpr double kMinSlowBound = 0.12;

/** Rates of slow answers up to this are attributed to load while the older version returns no
    answers, which is assumed after kStaleBaselineAnswers consecutive answers of the newer one. Bad
    versions are several times slower, so that nearly all their answers are slow. */
constexpr double kStaleBaselineSlowBound = 0.5;
constexpr std::uint64_t kStaleBaselineAnswers = 50;

/** Upper limit of the healthy rate, which applies before the older version has answered. */
constexpr double kMaxBound = 0.6;

/** Smallest rises above the healthy rate that the tests look for. */
constexpr double kFailureIncrease = 0.08;
constexpr double kSlowIncrease = 0.15;

double HealthyBoundOf(const RateBaseline& aBaseline, double aMin)
{
  return std::clamp(aBaseline.UpperBound(), aMin, kMaxBound);
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

bool VersionCounts::Includes(const VersionCounts& aOther) const
{
  return mAnswers >= aOther.mAnswers && mFailures >= aOther.mFailures && mSlow >= aOther.mSlow;
}

void VersionComparison::AddOlder(const VersionCounts& aCounts)
{
  if (aCounts.mAnswers == 0) {
    return;
  }
  mNewerSinceOlder = 0;
  mFailureBaseline.Add(aCounts.mAnswers, aCounts.mFailures);
  mSlowBaseline.Add(aCounts.mAnswers, aCounts.mSlow);
}

void VersionComparison::AddNewer(const VersionCounts& aCounts)
{
  if (aCounts.mAnswers == 0) {
    return;
  }
  mFailures.Add(aCounts.mAnswers,
                aCounts.mFailures,
                { HealthyBoundOf(mFailureBaseline, kMinFailureBound), kFailureIncrease });
  mNewerSinceOlder += aCounts.mAnswers;
  const double minSlowBound =
    mNewerSinceOlder > kStaleBaselineAnswers ? kStaleBaselineSlowBound : kMinSlowBound;
  mSlow.Add(aCounts.mAnswers,
            aCounts.mSlow,
            { HealthyBoundOf(mSlowBaseline, minSlowBound), kSlowIncrease });
}

double VersionComparison::LogEvidence() const
{
  return std::max(mFailures.LogEvidence(), mSlow.LogEvidence());
}

} // namespace skylarkchute
