#pragma once

#include "../evidence/RollShare.h"
#include "../evidence/VersionVerdict.h"
#include "../model/Bundle.h"
#include "RollRecord.h"

#include <optional>

namespace skylarkchute {

/** The state of a roll on one instance, from which the next record is decided. */
struct RollObservation
{
  EvidenceTotals mEvidence; /**< For the new version, since the stage began. */
  VersionVerdict mVerdict;
  bool mNextStageReady = true; /**< The endpoints for the next stage are ready. */
  InstanceId mSelf;
  Generation mGeneration = 0; /**< Generation in force on this instance. */
  WallTime mWallNow;
};

/** Returns the record that should replace @p aRecord, or `std::nullopt` if it need not change. A
    new roll begins at its first stage. A bad verdict withdraws the new version at any time. A stage
    ends when the hold time has passed, there is enough evidence, the verdict is healthy and the
    endpoints for the next stage are ready. */
std::optional<RollRecord> NextRecord(const RollPlan& aPlan,
                                     Generation aSince,
                                     const std::optional<RollRecord>& aRecord,
                                     const RollObservation& aObservation);

/** Returns the traffic share of the new version under a record; 0 per cent without a record. */
RollShare ShareOf(const RollPlan& aPlan, const std::optional<RollRecord>& aRecord);

} // namespace skylarkchute
