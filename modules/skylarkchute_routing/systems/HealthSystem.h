#pragma once

#include "../policy/health/VersionBreaker.h"
#include "../policy/health/VersionHealth.h"
#include "../requests/AttemptOutcome.h"
#include "../tables/RouterTables.h"

#include <map>
#include <optional>

namespace skylarkchute {

/** Compares each rolling version with the one that it replaces, on this instance's evidence and
    that of its peers. */
class HealthSystem
{
public:
  explicit HealthSystem(RouterTables& aTables) : mTables(aTables) {}

  /** Follows the rolls of the bundle in force; rolls of the same versions keep their evidence. */
  void ApplyBundle();

  /** Takes in the end of an attempt of this instance. */
  void OnAttemptEnd(const RequestRow& aRow,
                    const AttemptRow& aAttempt,
                    const ZoneName& aZone,
                    const AttemptOutcome& aOutcome,
                    TimePoint aNow);

  /** Takes in a rating. */
  void OnRating(const HealthRating& aRating, TimePoint aNow);

  /** Takes in counts of another instance. */
  void OnFleetEvidence(const VersionEvidence& aEvidence, TimePoint aNow);

  /** Returns whether a request without a pin may be given to the version: false for a while after
      failures on this instance. */
  bool Allows(const VersionId& aVersion, TimePoint aNow);

  /** A version that counts as bad. */
  struct BadVersion
  {
    VersionId mVersion;
    std::string mReason;
  };

  /** Returns the versions that count as bad. */
  std::vector<BadVersion> Bad() const;

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
