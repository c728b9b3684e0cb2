#include "VersionHealth.h"

#include <algorithm>
#include <cmath>

namespace skylarkchute {

namespace {

/** Maximum number of slices besides `all`. Half of the false alarm rate is divided among them; any
    further slices are not tested. */
constexpr std::size_t kMaxSlices = 64;
/** Share of a threshold by which a healthy version may exceed the baseline. */
constexpr double kToleratedThresholdShare = 0.25;
/** Time since the last attempt on the older version after which its rates are stale. */
constexpr auto kMaxBaselineAge = std::chrono::seconds(30);
/** Quantile of the older version's latency above which an answer is slow. */
constexpr double kSlowLatencyQuantile = 0.9;
/** Latencies of a class needed to set the threshold of its slow answers. */
constexpr std::uint64_t kMinLatencySamples = 200;
constexpr std::uint64_t kMinBaselineTrials = 20;
/** Factors on the baseline's share of slow answers that a healthy version may reach. */
constexpr double kSlowShareTolerance = 1.25;
constexpr double kStaleSlowShareTolerance = 2;
constexpr double kMinSlowShareIncrease = 0.1;
/** Natural logarithm of the likelihood ratio at or below which a rise that matters is ruled out. */
constexpr double kHealthyLogRatio = -3;

const char* const kAllKind = "all";
const char* const kTeamKind = "team";
const char* const kZoneKind = "zone";

std::size_t Index(HealthMetric aMetric)
{
  return static_cast<std::size_t>(aMetric);
}

} // namespace

std::string_view HealthMetricName(HealthMetric aMetric)
{
  switch (aMetric) {
    case HealthMetric::Errors:
      return "errors";
    case HealthMetric::Timeouts:
      return "timeouts";
    case HealthMetric::Ratings:
      return "ratings";
    case HealthMetric::Latency:
      return "latency";
  }
  return "errors";
}

std::string HealthVerdict::Reason() const
{
  if (!mMetric) {
    return {};
  }
  return std::string(HealthMetricName(*mMetric)) + " in " + mSlice;
}

VersionHealth::VersionHealth(VersionId aFrom, VersionId aTo, Options aOptions)
  : mFrom(std::move(aFrom))
  , mTo(std::move(aTo))
  , mOptions(aOptions)
{
}

void VersionHealth::ObserveAttempt(const HealthAttempt& aAttempt, TimePoint aNow)
{
  if (!IsInRoll(aAttempt.mVersion)) {
    return;
  }
  if (aAttempt.mVersion == mFrom) {
    mLastBaselineAttempt = aNow;
  }
  const auto count = [&](HealthMetric aMetric, bool aEvent) {
    const Counts counts{ 1, aEvent ? 1U : 0U };
    Count(aAttempt.mVersion, aAttempt.mTeam, aAttempt.mZone, aMetric, counts, aNow);
  };
  count(HealthMetric::Errors, aAttempt.mError);
  count(HealthMetric::Timeouts, aAttempt.mTimeout);
  const auto slow = IsSlow(aAttempt);
  if (slow) {
    count(HealthMetric::Latency, *slow);
  }
}

void VersionHealth::ObserveRating(const HealthRating& aRating, TimePoint aNow)
{
  if (!IsInRoll(aRating.mVersion)) {
    return;
  }
  const Counts counts{ 1, aRating.mGood ? 0U : 1U };
  Count(aRating.mVersion, aRating.mTeam, aRating.mZone, HealthMetric::Ratings, counts, aNow);
}

void VersionHealth::ObserveEvidence(const VersionEvidence& aEvidence, TimePoint aNow)
{
  if (!IsInRoll(aEvidence.mVersion)) {
    return;
  }
  if (aEvidence.mVersion == mFrom && aEvidence.mRequests > 0) {
    mLastBaselineAttempt = aNow;
  }
  const auto count = [&](HealthMetric aMetric, std::uint64_t aTrials, std::uint64_t aEvents) {
    const Counts counts{ aTrials, std::min(aTrials, aEvents) };
    Count(aEvidence.mVersion, aEvidence.mTeam, aEvidence.mZone, aMetric, counts, aNow);
  };
  count(HealthMetric::Errors, aEvidence.mRequests, aEvidence.mErrors);
  count(HealthMetric::Timeouts, aEvidence.mRequests, aEvidence.mTimeouts);
  const auto good = std::min(aEvidence.mRated, aEvidence.mRatedGood);
  count(HealthMetric::Ratings, aEvidence.mRated, aEvidence.mRated - good);
}

HealthVerdict VersionHealth::Verdict() const
{
  if (mBadVerdict.mState == HealthState::Bad) {
    return mBadVerdict;
  }
  const auto it = mSlices.find({ kAllKind, {} });
  if (it == mSlices.end()) {
    return {};
  }
  const auto& slice = it->second;
  if (slice.mTests[Index(HealthMetric::Errors)].Trials() < mOptions.mMinRequests) {
    return {};
  }
  for (std::size_t n = 0; n < kMetricCount; ++n) {
    const bool measured = slice.mBaselines[n].Trials() >= kMinBaselineTrials;
    if (measured && slice.mTests[n].LogSmallestRise() > kHealthyLogRatio) {
      return {};
    }
  }
  HealthVerdict verdict;
  verdict.mState = HealthState::Healthy;
  return verdict;
}

bool VersionHealth::IsInRoll(const VersionId& aVersion) const
{
  return aVersion == mFrom || aVersion == mTo;
}

std::optional<bool> VersionHealth::IsSlow(const HealthAttempt& aAttempt)
{
  if (aAttempt.mError || aAttempt.mTimeout || aAttempt.mLatency.count() == 0) {
    return std::nullopt;
  }
  auto& entry = mClassLatencies[aAttempt.mClass];
  if (entry.mSlowThreshold) {
    return aAttempt.mLatency > *entry.mSlowThreshold;
  }
  if (aAttempt.mVersion == mFrom) {
    entry.mLatencies.Record(aAttempt.mLatency);
    if (entry.mLatencies.Count() >= kMinLatencySamples) {
      entry.mSlowThreshold = entry.mLatencies.Quantile(kSlowLatencyQuantile);
    }
  }
  return std::nullopt;
}

void VersionHealth::Count(const VersionId& aVersion,
                          const TeamName& aTeam,
                          const ZoneName& aZone,
                          HealthMetric aMetric,
                          const Counts& aCounts,
                          TimePoint aNow)
{
  if (aCounts.mTrials == 0) {
    return;
  }
  const bool isNewer = aVersion == mTo;
  CountSlice({ kAllKind, {} }, isNewer, aMetric, aCounts, aNow);
  if (!aTeam.IsEmpty()) {
    CountSlice({ kTeamKind, aTeam.Value() }, isNewer, aMetric, aCounts, aNow);
  }
  if (!aZone.IsEmpty()) {
    CountSlice({ kZoneKind, aZone.Value() }, isNewer, aMetric, aCounts, aNow);
  }
}

void VersionHealth::CountSlice(const SliceKey& aKey,
                               bool aIsNewer,
                               HealthMetric aMetric,
                               const Counts& aCounts,
                               TimePoint aNow)
{
  if (mSlices.size() > kMaxSlices && mSlices.find(aKey) == mSlices.end()) {
    return;
  }
  auto& slice = mSlices[aKey];
  auto& baseline = slice.mBaselines[Index(aMetric)];
  if (!aIsNewer) {
    baseline.Add(aCounts.mTrials, aCounts.mEvents);
    return;
  }
  auto& test = slice.mTests[Index(aMetric)];
  if (baseline.Trials() < kMinBaselineTrials) {
    return;
  }
  test.Add(aCounts.mTrials, aCounts.mEvents, TestRates(baseline, aMetric, aNow));
  const double evidence = test.LogEvidence();
  mLogEvidence = std::max(mLogEvidence, evidence);
  if (mBadVerdict.mState != HealthState::Bad && evidence >= LogThreshold(aKey)) {
    mBadVerdict.mState = HealthState::Bad;
    mBadVerdict.mMetric = aMetric;
    mBadVerdict.mSlice = aKey.mName.empty() ? aKey.mKind : aKey.mKind + " " + aKey.mName;
  }
}

SequentialTest::Rates VersionHealth::TestRates(const RateBaseline& aBaseline,
                                               HealthMetric aMetric,
                                               TimePoint aNow) const
{
  const bool stale = aNow - mLastBaselineAttempt > kMaxBaselineAge;
  const double bound = aBaseline.UpperBound();
  if (aMetric == HealthMetric::Latency) {
    return { bound * (stale ? kStaleSlowShareTolerance : kSlowShareTolerance),
             kMinSlowShareIncrease };
  }
  const double threshold = aMetric == HealthMetric::Ratings
                             ? mOptions.mThresholds.mQualityDrop
                             : mOptions.mThresholds.mErrorRateIncrease;
  return { bound + threshold * (stale ? 1 : kToleratedThresholdShare), threshold };
}

double VersionHealth::LogThreshold(const SliceKey& aKey) const
{
  // Bonferroni correction: half of the false alarm rate is for the tests over all requests, half
  // for those of the slices.
  const double share = aKey.mName.empty() ? 1 : 1.0 / kMaxSlices;
  return std::log(2 * kMetricCount / (mOptions.mFalseAlarmRate * share));
}

} // namespace skylarkchute
