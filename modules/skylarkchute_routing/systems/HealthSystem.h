#pragma once

#include "../policy/health/VersionBreaker.h"
#include "../policy/health/VersionHealth.h"
#include "../requests/AttemptOutcome.h"
#include "../tables/RouterTables.h"

#include <map>
#include <optional>

namespace skylarkchute {

/** Compares each rolling version with the version that it replaces, using the evidence of this
    instance and of its peers. */
class HealthSystem
{
public:
  explicit HealthSystem(RouterTables& aTables) : mTables(aTables) {}

  /** Updates the rolls from the bundle in force. A roll whose versions are unchanged keeps its
      evidence. */
  void ApplyBundle();

  /** Records the end of an attempt of this instance. */
  void OnAttemptEnd(const RequestRow& aRow,
                    const AttemptRow& aAttempt,
                    const ZoneName& aZone,
                    const AttemptOutcome& aOutcome,
                    TimePoint aNow);

  /** Records a rating. */
  void OnRating(const HealthRating& aRating, TimePoint aNow);

  /** Records counts of another instance. */
  void OnFleetEvidence(const VersionEvidence& aEvidence, TimePoint aNow);

  /** Returns whether the version may be chosen for a request without a pinned version: false while
      its breaker is open after failures on this instance. */
  bool Allows(const VersionId& aVersion, TimePoint aNow);

  /** A rolling version that is worse than the version it replaces. */
  struct BadVersion
  {
    VersionId mVersion;
    std::string mReason;
  };

  /** Returns the rolling versions whose health state is bad. */
  std::vector<BadVersion> BadVersions() const;

  /** Returns the verdict on each roll of the bundle in force. */
  std::vector<RollVerdict> Verdicts() const;

private:
  struct Roll
  {
    RollPlan mPlan;
    VersionHealth mHealth;
    VersionBreaker mBreaker;
  };

  RouterTables& mTables;
  std::map<RollName, Roll> mRolls;
};

} // namespace skylarkchute
