#pragma once

#include "../evidence/RollShare.h"
#include "../evidence/VersionVerdict.h"
#include "../model/Bundle.h"
#include "RollRecord.h"

#include <optional>

namespace skylarkchute {

/** What an instance knows of a roll when it decides on the next step. */
struct RollObservation
{
  EvidenceTotals mEvidence; /**< Of the new version since the stage began. */
  VersionVerdict mVerdict;
  bool mMayAdvance = true; /**< The endpoints of the next stage are ready. */
  InstanceId mSelf;
  Generation mGeneration = 0; /**< In force on this instance. */
  WallTime mWallNow;
};

/** Returns the record that should replace the known one, or nothing while there is no reason to
    change it. A new roll begins at its first stage. A bad verdict withdraws at any time; a stage
    ends after the hold time with enough evidence and a healthy verdict. */
std::optional<RollRecord> NextRecord(const RollPlan& aPlan,
                                     Generation aSince,
                                     const std::optional<RollRecord>& aRecord,
                                     const RollObservation& aObservation);

/** Returns the share of traffic that a record gives to the new version; none without a record. */
RollShare ShareOf(const RollPlan& aPlan, const std::optional<RollRecord>& aRecord);

} // namespace skylarkchute
