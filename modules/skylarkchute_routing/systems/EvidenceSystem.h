#pragma once

#include "../requests/AttemptOutcome.h"
#include "../tables/RouterTables.h"
#include "HealthSystem.h"

#include <map>
#include <string>
#include <vector>

namespace skylarkchute {

/** Counts what this instance sees of each version, and stops versions. */
class EvidenceSystem
{
public:
  EvidenceSystem(RouterTables& aTables, HealthSystem& aHealth) : mTables(aTables), mHealth(aHealth)
  {
  }

  /** Counts the end of an attempt at an endpoint of the zone. */
  void OnAttemptEnd(const RequestRow& aRow,
                    const AttemptRow& aAttempt,
                    const ZoneName& aZone,
                    const AttemptOutcome& aOutcome,
                    TimePoint aNow);

  /** Counts a rating. */
  void OnRating(const VersionId& aVersion,
                const ClassName& aClass,
                const TeamName& aTeam,
                double aRating,
                TimePoint aNow);

  /** Takes in the counts of other instances. */
  void OnFleetEvidence(const std::vector<VersionEvidence>& aEvidence, TimePoint aNow);

  /** Stops a version on this instance.
      @param aTellPeers  whether the stop is news to the peers */
  void Stop(const VersionId& aVersion, const std::string& aReason, bool aTellPeers);

  /** Returns and empties the counts. */
  std::vector<VersionEvidence> Take();

private:
  struct Key
  {
    VersionId mVersion;
    ClassName mClass;
    TeamName mTeam;
    ZoneName mZone;
    auto operator<=>(const Key&) const = default;
  };

  VersionEvidence& Count(const Key& aKey);
  void StopBad();

  RouterTables& mTables;
  HealthSystem& mHealth;
  std::map<Key, VersionEvidence> mCounts;
};

} // namespace skylarkchute
