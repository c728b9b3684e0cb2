#pragma once

#include "RateBaseline.h"
#include "SequentialTest.h"

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <array>
#include <map>
#include <optional>
#include <string>

namespace skylarkchute {

/** What is compared between two versions. */
enum class HealthMetric
{
  Errors,
  Timeouts,
  Ratings,
  Latency,
};

/** Returns the name in alerts and status: `errors`, `timeouts`, `ratings` or `latency`. */
std::string_view HealthMetricName(HealthMetric aMetric);

enum class HealthState
{
  Undecided,
  Healthy, /**< Enough evidence, and none of a rise that matters. */
  Bad,     /**< Final. */
};

/** The state of a version, and why it counts as bad. */
struct HealthVerdict
{
  HealthState mState = HealthState::Undecided;
  std::optional<HealthMetric> mMetric; /**< Set when bad. */
  std::string mSlice;                  /**< `all`, `team NAME` or `zone NAME`; set when bad. */

  /** Returns `METRIC in SLICE` when bad, else an empty text. */
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
  std::chrono::microseconds mLatency{ 0 }; /**< Of complete answers; zero else. */
};

/** One rating of an answer of either version of a roll. */
struct HealthRating
{
  VersionId mVersion;
  TeamName mTeam;
  ZoneName mZone; /**< Empty when not known. */
  bool mGood = false;
};

/** Compares a version with the one that it replaces by sequential tests.

    Errors, timeouts, ratings and latency are tested over all requests, per team and per zone, so
    that a version bad for one team or in one zone is found. The false alarm rate holds for all
    tests of one roll together and however often the verdict is read, as long as the older
    version's rates stay representative. Latency counts as slow above the ninth decile of the older
    version in the same class. */
class VersionHealth
{
public:
  struct Options
  {
    RollGates mGates;
    double mFalseAlarmRate = 0.001; /**< Chance that a healthy version is ever called bad. */
    std::uint64_t mEvidence = 200;  /**< Requests before a version may count as healthy. */
  };

  /** @param aFrom  the version that is replaced
      @param aTo    the version under test */
  VersionHealth(VersionId aFrom, VersionId aTo, Options aOptions);

  /** Takes in one attempt of this instance. Attempts on other versions are ignored. */
  void ObserveAttempt(const HealthAttempt& aAttempt, TimePoint aNow);

  /** Takes in one rating. */
  void ObserveRating(const HealthRating& aRating, TimePoint aNow);

  /** Takes in counts of another instance. Their latency sums are not used. */
  void ObserveEvidence(const VersionEvidence& aEvidence, TimePoint aNow);

  /** Returns the verdict on the newer version. */
  HealthVerdict Verdict() const;

  /** Returns the largest logarithm of evidence against the version, for status. */
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
    std::optional<std::chrono::microseconds> mThreshold;
  };

  bool IsOfRoll(const VersionId& aVersion) const;
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
  SequentialTest::Rates RatesOf(const RateBaseline& aBaseline,
                                HealthMetric aMetric,
                                TimePoint aNow) const;
  double Threshold(const SliceKey& aKey) const;

  VersionId mFrom;
  VersionId mTo;
  Options mOptions;
  std::map<SliceKey, Slice> mSlices;
  std::map<ClassName, ClassLatency> mClassLatencies;
  TimePoint mLastOlder{};
  HealthVerdict mBad;
  double mLogEvidence = 0;
};

} // namespace skylarkchute
