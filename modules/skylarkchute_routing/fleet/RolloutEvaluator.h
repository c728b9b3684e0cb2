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
};

/** Decides from the answers of all instances whether a version is worse than the one it replaces.

    Detects a version that fails or slows down some of its requests, immediately or later. Two
    sequential tests, which may be read after every answer, compare its rates of failures and of
    slow answers with those of the older version. Once the older version no longer answers, a
    comparison cannot distinguish a slow version from a load that slows down every version; from
    then on, most answers must be slow for the version to be bad. */
class RolloutEvaluator
{
public:
  /** Adds answers of the older version. */
  void AddOlder(const VersionCounts& aCounts);

  /** Adds answers of the newer version. */
  void AddNewer(const VersionCounts& aCounts);

  /** Returns whether the newer version is bad. Stays true once set. */
  bool IsBad() const { return mIsBad; }

  /** Returns the answers of the newer version so far. */
  std::uint64_t NewerAnswers() const { return mNewerAnswers; }

private:
  RateBaseline mFailureBaseline;
  RateBaseline mSlowBaseline;
  SequentialTest mFailures;
  SequentialTest mSlow;
  std::uint64_t mNewerAnswers = 0;
  std::uint64_t mNewerSinceOlder = 0; /**< Newer answers since the last one of the older version. */
  bool mIsBad = false;
};

} // namespace skylarkchute
