#pragma once

#include "../parts/BundleHead.h"
#include "EvidenceTotals.h"

#include <boost/leaf.hpp>

#include <cstdint>
#include <string>

namespace skylarkchute {

enum class RollPhase
{
  Running,
  Finished,  /**< The last stage has ended; the new version may still be withdrawn. */
  Withdrawn, /**< Final: the new version must not be used. */
};

/** The object `rolls/<since>/<name>`: the state of a roll. Changed only by conditional updates. */
struct RollRecord
{
  RollName mName;
  Generation mSince = 0; /**< The generation that introduced the plan in its present form. */
  VersionId mFrom;
  VersionId mTo;
  RollPhase mPhase = RollPhase::Running;
  std::uint32_t mStage = 0; /**< Index into RollPlan::mStagePercents. */
  WallTime mStageSince;
  EvidenceTotals mEvidence; /**< For the new version, in this stage. */
  std::string mReason;      /**< Reason for the withdrawal; empty before. */
  InstanceId mChangedBy;
  WallTime mChangedAt;
  /** Generation in force at the withdrawal; part of the key of its audit record. */
  Generation mAuditGeneration = 0;

  /** Returns whether this is a later state of the same roll than @p aOther. States are ordered by
      stage, then finished, then withdrawn. */
  bool IsLaterThan(const RollRecord& aOther) const;

  friend bool operator==(const RollRecord&, const RollRecord&) = default;
};

/** Returns `running`, `finished` or `withdrawn`. */
std::string RollPhaseName(RollPhase aPhase);

/** Returns the JSON text of a record. */
std::string WriteRollRecord(const RollRecord& aRecord);

/** Parses the JSON text of a record; invalid text is an error of type Faults. */
boost::leaf::result<RollRecord> ReadRollRecord(const std::string& aJson);

} // namespace skylarkchute
