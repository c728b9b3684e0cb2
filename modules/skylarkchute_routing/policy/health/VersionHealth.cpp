#include "VersionHealth.h"

#include <algorithm>
#include <cmath>

namespace skylarkchute {

namespace {

/** Slices beside `all` that the false alarm rate is split over; later ones are not tested. */
constexpr std::size_t kMaxSlices = 64;
/** Part of a gate that a healthy version may use up. */
constexpr double kTolerance = 0.25;
/** Without an attempt on the older version for this long, its rates count as old. */
constexpr auto kStaleBaseline = std::chrono::seconds(30);
constexpr double kSlowQuantile = 0.9;
constexpr std::uint64_t kLatencySamples = 200;
constexpr std::uint64_t kMinBaselineTrials = 20;
constexpr double kSlowTolerance = 1.25;
constexpr double kStaleSlowTolerance = 2;
constexpr double kSlowIncrease = 0.1;
/** Logarithm of the likelihood ratio below which a rise that matters is ruled out. */
constexpr double kLogHealthy = -3;

const char* const kAll = "all";
const char* const kTeam = "team";
const char* const kZone = "zone";

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
  if (!IsOfRoll(aAttempt.mVersion)) {
    return;
  }
  if (aAttempt.mVersion == mFrom) {
    mLastOlder = aNow;
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
  if (!IsOfRoll(aRating.mVersion)) {
    return;
  }
  const Counts counts{ 1, aRating.mGood ? 0U : 1U };
  Count(aRating.mVersion, aRating.mTeam, aRating.mZone, HealthMetric::Ratings, counts, aNow);
}

void VersionHealth::ObserveEvidence(const VersionEvidence& aEvidence, TimePoint aNow)
{
  if (!IsOfRoll(aEvidence.mVersion)) {
    return;
  }
  if (aEvidence.mVersion == mFrom && aEvidence.mRequests > 0) {
    mLastOlder = aNow;
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
  if (mBad.mState == HealthState::Bad) {
    return mBad;
  }
  const auto it = mSlices.find({ kAll, {} });
  if (it == mSlices.end()) {
    return {};
  }
  const auto& slice = it->second;
  if (slice.mTests[Index(HealthMetric::Errors)].Trials() < mOptions.mEvidence) {
    return {};
  }
  for (std::size_t n = 0; n < kMetricCount; ++n) {
    const bool measured = slice.mBaselines[n].Trials() >= kMinBaselineTrials;
    if (measured && slice.mTests[n].LogSmallestRise() > kLogHealthy) {
      return {};
    }
  }
  HealthVerdict verdict;
  verdict.mState = HealthState::Healthy;
  return verdict;
}

bool VersionHealth::IsOfRoll(const VersionId& aVersion) const
{
  return aVersion == mFrom || aVersion == mTo;
}

std::optional<bool> VersionHealth::IsSlow(const HealthAttempt& aAttempt)
{
  if (aAttempt.mError || aAttempt.mTimeout || aAttempt.mLatency.count() == 0) {
    return std::nullopt;
  }
  auto& entry = mClassLatencies[aAttempt.mClass];
  if (entry.mThreshold) {
    return aAttempt.mLatency > *entry.mThreshold;
  }
  if (aAttempt.mVersion == mFrom) {
    entry.mLatencies.Record(aAttempt.mLatency);
    if (entry.mLatencies.Count() >= kLatencySamples) {
      entry.mThreshold = entry.mLatencies.Quantile(kSlowQuantile);
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
  CountSlice({ kAll, {} }, isNewer, aMetric, aCounts, aNow);
  if (!aTeam.IsEmpty()) {
    CountSlice({ kTeam, aTeam.Value() }, isNewer, aMetric, aCounts, aNow);
  }
  if (!aZone.IsEmpty()) {
    CountSlice({ kZone, aZone.Value() }, isNewer, aMetric, aCounts, aNow);
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
  test.Add(aCounts.mTrials, aCounts.mEvents, RatesOf(baseline, aMetric, aNow));
  const double evidence = test.LogEvidence();
  mLogEvidence = std::max(mLogEvidence, evidence);
  if (mBad.mState != HealthState::Bad && evidence >= Threshold(aKey)) {
    mBad.mState = HealthState::Bad;
    mBad.mMetric = aMetric;
    mBad.mSlice = aKey.mName.empty() ? aKey.mKind : aKey.mKind + " " + aKey.mName;
  }
}

SequentialTest::Rates VersionHealth::RatesOf(const RateBaseline& aBaseline,
                                             HealthMetric aMetric,
                                             TimePoint aNow) const
{
  const bool stale = aNow - mLastOlder > kStaleBaseline;
  const double bound = aBaseline.UpperBound();
  if (aMetric == HealthMetric::Latency) {
    return { bound * (stale ? kStaleSlowTolerance : kSlowTolerance), kSlowIncrease };
  }
  const double gate = aMetric == HealthMetric::Ratings ? mOptions.mGates.mQualityDrop
                                                       : mOptions.mGates.mErrorRateIncrease;
  return { bound + gate * (stale ? 1 : kTolerance), gate };
}

double VersionHealth::Threshold(const SliceKey& aKey) const
{
  // Half of the false alarm rate goes to the tests over all requests, half to the slices.
  const double share = aKey.mName.empty() ? 1 : 1.0 / kMaxSlices;
  return std::log(2 * kMetricCount / (mOptions.mFalseAlarmRate * share));
}

} // namespace skylarkchute
