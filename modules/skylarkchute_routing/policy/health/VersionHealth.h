#pragma once

#include "RateBaseline.h"
#include "SequentialTest.h"

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <array>
#include <map>
#include <optional>
#include <string>

namespace skylarkchute {

/** A metric that is compared between two versions. */
enum class HealthMetric
{
  Errors,
  Timeouts,
  Ratings,
  Latency,
};

/** Returns the name used in alerts and status: `errors`, `timeouts`, `ratings` or `latency`. */
std::string_view HealthMetricName(HealthMetric aMetric);

enum class HealthState
{
  Undecided,
  Healthy, /**< Enough requests, and every measured metric rules out a rise that matters. */
  Bad,     /**< Never changes again. */
};

/** The health of a version and, if it is bad, the reason. */
struct HealthVerdict
{
  HealthState mState = HealthState::Undecided;
  std::optional<HealthMetric> mMetric; /**< Set when bad. */
  std::string mSlice;                  /**< `all`, `team NAME` or `zone NAME`; set when bad. */

  /** Returns `METRIC in SLICE` when bad, else an empty string. */
  std::string Reason() const;
};

/** One attempt on either version of a roll. */
struct HealthAttempt
{
  VersionId mVersion;
  ClassName mClass;
  TeamName mTeam;
  ZoneName mZone; /**< Of the endpoint. */
  bool mError = false;
  bool mTimeout = false;
  std::chrono::microseconds mLatency{ 0 }; /**< Zero unless the answer is complete. */
};

/** One rating of an answer of either version of a roll. */
struct HealthRating
{
  VersionId mVersion;
  TeamName mTeam;
  ZoneName mZone; /**< Empty if unknown. */
  bool mGood = false;
};

/** Compares a version with the one that it replaces, using sequential tests.

    Errors, timeouts, ratings and latency are tested over all requests, per team and per zone, so
    that a version that is bad only for one team or in one zone is detected. The false alarm rate
    applies to all tests of one roll together, however often the verdict is read, as long as the
    older version's rates stay representative. An answer is slow if its latency exceeds the 90th
    percentile of the older version in the same class. */
class VersionHealth
{
public:
  struct Options
  {
    RollThresholds mThresholds;
    double mFalseAlarmRate = 0.001; /**< Maximum probability that a healthy version is ever bad. */
    std::uint64_t mMinRequests = 200; /**< Requests needed before a version is healthy. */
  };

  /** @param aFrom  the older version, which is replaced
      @param aTo    the version under test */
  VersionHealth(VersionId aFrom, VersionId aTo, Options aOptions);

  /** Adds one attempt of this instance. Attempts on other versions are ignored. */
  void ObserveAttempt(const HealthAttempt& aAttempt, TimePoint aNow);

  /** Adds one rating. Ratings of other versions are ignored. */
  void ObserveRating(const HealthRating& aRating, TimePoint aNow);

  /** Adds the counts of another instance. Their latency sums are not used. */
  void ObserveEvidence(const VersionEvidence& aEvidence, TimePoint aNow);

  /** Returns the verdict on the newer version. */
  HealthVerdict Verdict() const;

  /** Returns the highest natural log likelihood ratio of any test so far, for status. */
  double LogEvidence() const { return mLogEvidence; }

private:
  static constexpr std::size_t kMetricCount = 4;

  struct Slice
  {
    std::array<RateBaseline, kMetricCount> mBaselines;
    std::array<SequentialTest, kMetricCount> mTests;
  };

  struct SliceKey
  {
    std::string mKind;
    std::string mName;
    auto operator<=>(const SliceKey&) const = default;
  };

  struct Counts
  {
    std::uint64_t mTrials = 0;
    std::uint64_t mEvents = 0;
  };

  struct ClassLatency
  {
    LatencyHistogram mLatencies;
    std::optional<std::chrono::microseconds> mSlowThreshold;
  };

  bool IsInRoll(const VersionId& aVersion) const;
  std::optional<bool> IsSlow(const HealthAttempt& aAttempt);
  void Count(const VersionId& aVersion,
             const TeamName& aTeam,
             const ZoneName& aZone,
             HealthMetric aMetric,
             const Counts& aCounts,
             TimePoint aNow);
  void CountSlice(const SliceKey& aKey,
                  bool aIsNewer,
                  HealthMetric aMetric,
                  const Counts& aCounts,
                  TimePoint aNow);
  SequentialTest::Rates TestRates(const RateBaseline& aBaseline,
                                  HealthMetric aMetric,
                                  TimePoint aNow) const;
  double LogThreshold(const SliceKey& aKey) const;

  VersionId mFrom;
  VersionId mTo;
  Options mOptions;
  std::map<SliceKey, Slice> mSlices;
  std::map<ClassName, ClassLatency> mClassLatencies;
  TimePoint mLastBaselineAttempt{};
  HealthVerdict mBadVerdict;
  double mLogEvidence = 0;
};

} // namespace skylarkchute
