#pragma once

#include "../policy/health/RateBaseline.h"
#include "../policy/health/SequentialTest.h"

#include <cstdint>

namespace skylarkchute {

/** Answer counts of one version. */
struct VersionCounts
{
  std::uint64_t mAnswers = 0;
  std::uint64_t mFailures = 0; /**< Answers in which the endpoint itself reported a failure. */
  std::uint64_t mSlow = 0;     /**< Answers several times slower than usual, or given up. */

  VersionCounts& operator+=(const VersionCounts& aOther);
  friend VersionCounts operator-(const VersionCounts& aLeft, const VersionCounts& aRight);
  friend bool operator==(const VersionCounts&, const VersionCounts&) = default;

  /** Returns whether none of the counts is lower than that of @p aOther. */
  bool Includes(const VersionCounts& aOther) const;
};

/** Compares the failures and the slow answers of a version with those of the one it replaces.

    Two sequential tests, which may be read after every answer. Once the older version no longer
    answers, a comparison cannot distinguish a slow version from a load that slows down every
    version; from then on, most answers must be slow for the version to be bad. */
class VersionComparison
{
public:
  /** @param aMaxSlowBound  upper limit of the healthy rate of slow answers, 0 to 1 */
  explicit VersionComparison(double aMaxSlowBound = kMaxBound) : mMaxSlowBound(aMaxSlowBound) {}

  /** Adds answers of the older version. */
  void AddOlder(const VersionCounts& aCounts);

  /** Adds answers of the older version, of which only the failures are comparable. */
  void AddOlderFailures(const VersionCounts& aCounts);

  /** Adds answers of the older version, of which only the latency is comparable. */
  void AddOlderSlow(const VersionCounts& aCounts);

  /** Adds answers of the newer version.
      @param aIncomparable  number of these answers that are not slow, and whose latency is not
                            comparable */
  void AddNewer(const VersionCounts& aCounts, std::uint64_t aIncomparable = 0);

  /** Returns the natural logarithm of the evidence that the newer version is worse: that of the
      test with more of it. */
  double LogEvidence() const;

private:
  /** Upper limit of the healthy rate, which applies before the older version has answered. */
  static constexpr double kMaxBound = 0.6;

  double mMaxSlowBound = kMaxBound;
  RateBaseline mFailureBaseline;
  RateBaseline mSlowBaseline;
  SequentialTest mFailures;
  SequentialTest mSlow;
  std::uint64_t mNewerSinceOlder = 0; /**< Newer answers since the last one of the older version. */
};

} // namespace skylarkchute
