#pragma once

#include "FaultPlan.h"
#include "Workload.h"

namespace skylarkchute {

/** How an endpoint handles one attempt. */
struct AttemptBehavior
{
  bool mError = false;       /**< Fails after the time to the first token. */
  bool mHangs = false;       /**< Never answers. */
  double mLatencyFactor = 1; /**< Factor on the normal latency. */
};

/** The properties of one attempt that its outcome depends on. */
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

/** The true quality of answers and the outcome of attempts. Every value is derived from the seed
    and the request and attempt numbers, not from the order of calls, so that all routers get the
    same values. */
class GroundTruth
{
public:
  GroundTruth(const Workload& aWorkload, const FaultPlan& aFaults, std::uint64_t aSeed)
    : mWorkload(aWorkload)
    , mFaults(aFaults)
    , mSeed(aSeed)
  {
  }

  /** Returns whether the version's answer to the request is good. The draw is the same for all
      versions, so the expensive model's answer is good wherever the cheap model's is. */
  bool IsGood(const AttemptFacts& aFacts, std::chrono::microseconds aElapsed) const;

  /** Returns how the endpoint handles the attempt. */
  AttemptBehavior BehaviorOf(const AttemptFacts& aFacts, std::chrono::microseconds aElapsed) const;

  /** Returns the rating, 0 or 1, that the rating service gives to an answer. */
  double Rating(bool aGood, std::uint64_t aRequestNumber, std::chrono::microseconds aElapsed) const;

  /** Returns whether the active fault of the rolling version affects the attempt. */
  bool IsAffectedByBadVersion(const AttemptFacts& aFacts, std::chrono::microseconds aElapsed) const;

private:
  double Draw(std::uint64_t aNumber, std::uint64_t aPurpose) const;

  const Workload& mWorkload;
  FaultPlan mFaults;
  std::uint64_t mSeed;
};

} // namespace skylarkchute
