#pragma once

#include "../policy/health/RateBaseline.h"
#include "../policy/health/SequentialTest.h"

#include <cstdint>

namespace skylarkchute {

/** Answers of one version, counted. */
struct VersionCounts
{
  std::uint64_t mAnswers = 0;
  std::uint64_t mFailures = 0; /**< The endpoint itself answered with a failure. */
  std::uint64_t mSlow = 0;     /**< Several times slower than usual. */

  VersionCounts& operator+=(const VersionCounts& aOther);
  friend VersionCounts operator-(const VersionCounts& aLeft, const VersionCounts& aRight);
  friend bool operator==(const VersionCounts&, const VersionCounts&) = default;
};

/** Decides from the answers of all instances whether a version is worse than the one it replaces.

    Answers a version that fails or slows down a part of its requests, at once or later. Two
    sequential tests, readable after every answer, compare its failures and its slow answers with
    those of the older version. Once the older version answers no more, a load that slows down
    every version cannot be told from a slow version by comparison: then most answers have to be
    slow. */
class RolloutJudge
{
public:
  /** Counts further answers of the older version. */
  void AddOlder(const VersionCounts& aCounts);

  /** Counts further answers of the newer version. */
  void AddNewer(const VersionCounts& aCounts);

  /** Returns whether the newer version is bad. Final once true. */
  bool IsBad() const { return mIsBad; }

  /** Returns the answers of the newer version so far. */
  std::uint64_t NewerAnswers() const { return mNewerAnswers; }

private:
  RateBaseline mFailureBaseline;
  RateBaseline mSlowBaseline;
  SequentialTest mFailures;
  SequentialTest mSlow;
  std::uint64_t mNewerAnswers = 0;
  std::uint64_t mNewerSinceOlder = 0; /**< Answers since the last one of the older version. */
  bool mIsBad = false;
};

} // namespace skylarkchute
