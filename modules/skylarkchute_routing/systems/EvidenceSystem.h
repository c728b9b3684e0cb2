#pragma once

#include "../requests/AttemptOutcome.h"
#include "../tables/RouterTables.h"
#include "HealthSystem.h"

#include <map>
#include <string>
#include <vector>

namespace skylarkchute {

/** Counts requests, errors, timeouts, latencies and ratings of each version on this instance, and
    stops versions that the health checks find bad. */
class EvidenceSystem
{
public:
  EvidenceSystem(RouterTables& aTables, HealthSystem& aHealth) : mTables(aTables), mHealth(aHealth)
  {
  }

  /** Counts the end of an attempt at an endpoint in the zone. */
  void OnAttemptEnd(const RequestRow& aRow,
                    const AttemptRow& aAttempt,
                    const ZoneName& aZone,
                    const AttemptOutcome& aOutcome,
                    TimePoint aNow);

  /** Counts a rating, 0 to 1. */
  void OnRating(const VersionId& aVersion,
                const ClassName& aClass,
                const TeamName& aTeam,
                double aRating,
                TimePoint aNow);

  /** Passes the counts of other instances to the health checks. */
  void OnFleetEvidence(const std::vector<VersionEvidence>& aEvidence, TimePoint aNow);

  /** Stops a version on this instance; does nothing when it is already stopped.
      @param aReason      reason for the log event and the alert
      @param aAlertPeers  whether to alert the peers; false when they already know of the stop */
  void Stop(const VersionId& aVersion, const std::string& aReason, bool aAlertPeers);

  /** Returns the counts since the last call and resets them. */
  std::vector<VersionEvidence> TakeCounts();

private:
  struct Key
  {
    VersionId mVersion;
    ClassName mClass;
    TeamName mTeam;
    ZoneName mZone;
    auto operator<=>(const Key&) const = default;
  };

  VersionEvidence& CountsFor(const Key& aKey);
  void StopBadVersions();

  RouterTables& mTables;
  HealthSystem& mHealth;
  std::map<Key, VersionEvidence> mCounts;
};

} // namespace skylarkchute
