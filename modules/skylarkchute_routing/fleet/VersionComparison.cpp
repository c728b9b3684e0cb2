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

/** Smallest rises above the healthy rate that the tests look for. */
constexpr double kFailureIncrease = 0.08;
constexpr double kSlowIncrease = 0.15;

double HealthyBoundOf(const RateBaseline& aBaseline, double aMin, double aMax)
{
  return std::clamp(aBaseline.UpperBound(), aMin, aMax);
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
  AddOlderFailures(aCounts);
  AddOlderSlow(aCounts);
}

void VersionComparison::AddOlderSlow(const VersionCounts& aCounts)
{
  if (aCounts.mAnswers == 0) {
    return;
  }
  mNewerSinceOlder = 0;
  mSlowBaseline.Add(aCounts.mAnswers, aCounts.mSlow);
}

void VersionComparison::AddOlderFailures(const VersionCounts& aCounts)
{
  mFailureBaseline.Add(aCounts.mAnswers, aCounts.mFailures);
}

void VersionComparison::AddNewer(const VersionCounts& aCounts, std::uint64_t aIncomparable)
{
  if (aCounts.mAnswers == 0) {
    return;
  }
  mFailures.Add(
    aCounts.mAnswers,
    aCounts.mFailures,
    { HealthyBoundOf(mFailureBaseline, kMinFailureBound, kMaxBound), kFailureIncrease });
  const auto compared = aCounts.mAnswers - std::min(aIncomparable, aCounts.mAnswers);
  mNewerSinceOlder += compared;
  const double minSlowBound =
    mNewerSinceOlder > kStaleBaselineAnswers ? kStaleBaselineSlowBound : kMinSlowBound;
  mSlow.Add(compared,
            std::min(aCounts.mSlow, compared),
            { HealthyBoundOf(mSlowBaseline, minSlowBound, mMaxSlowBound), kSlowIncrease });
}

double VersionComparison::LogEvidence() const
{
  return std::max(mFailures.LogEvidence(), mSlow.LogEvidence());
}

} // namespace skylarkchute
