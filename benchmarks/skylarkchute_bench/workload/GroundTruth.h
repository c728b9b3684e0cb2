#pragma once

#include "FaultPlan.h"
#include "Workload.h"

namespace skylarkchute {

/** How one attempt goes at an endpoint. */
struct AttemptBehavior
{
  bool mError = false;
  bool mHangs = false;
  double mLatencyFactor = 1;
};

/** What one attempt is. */
struct AttemptFacts
{
  std::uint64_t mRequestNumber = 0;
  std::uint32_t mAttemptNumber = 0;
  ClassName mClass;
  TeamName mTeam;
  std::optional<VersionId> mVersion;
  EndpointId mEndpoint;
  ZoneName mZone;
};

/** What is true of answers and attempts, whichever router asks: drawn from the seed and the numbers
    of request and attempt, not from the order of the calls. */
class GroundTruth
{
public:
  GroundTruth(const Workload& aWorkload, const FaultPlan& aFaults, std::uint64_t aSeed)
    : mWorkload(aWorkload)
    , mFaults(aFaults)
    , mSeed(aSeed)
  {
  }

  /** Returns whether the version's answer to the request is good. An answer of the expensive model
     is good wherever the cheap model's answer is. */
  bool IsGood(const AttemptFacts& aFacts, std::chrono::microseconds aElapsed) const;

  /** Returns how the attempt goes. */
  AttemptBehavior BehaviorOf(const AttemptFacts& aFacts, std::chrono::microseconds aElapsed) const;

  /** Returns the rating that the service gives to an answer. */
  double Rating(bool aGood, std::uint64_t aRequestNumber, std::chrono::microseconds aElapsed) const;

  /** Returns whether an attempt meets the fault of the rolling version. */
  bool IsAffectedByBadVersion(const AttemptFacts& aFacts, std::chrono::microseconds aElapsed) const;

private:
  double Draw(std::uint64_t aNumber, std::uint64_t aPurpose) const;

  const Workload& mWorkload;
  FaultPlan mFaults;
  std::uint64_t mSeed;
};

} // namespace skylarkchute
