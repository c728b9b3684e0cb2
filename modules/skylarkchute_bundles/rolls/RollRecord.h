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
  Finished,  /**< Passed its last stage; may still be withdrawn. */
  Withdrawn, /**< Final: the new version must not be used. */
};

/** The object `rolls/<since>/<name>`: how far a roll has come. Moved only by conditional update. */
struct RollRecord
{
  RollName mName;
  Generation mSince = 0; /**< The generation in which the plan of the roll first stood. */
  VersionId mFrom;
  VersionId mTo;
  RollPhase mPhase = RollPhase::Running;
  std::uint32_t mStage = 0; /**< Index into the stages of the plan. */
  WallTime mStageSince;
  EvidenceTotals mEvidence; /**< Of the new version in this stage. */
  std::string mReason;      /**< Why it was withdrawn. */
  InstanceId mChangedBy;
  WallTime mChangedAt;
  /** Generation in force at the withdrawal; places its audit record. */
  Generation mAuditGeneration = 0;

  /** Returns whether this is a later state of the same roll than @p aOther: a withdrawal comes
      after everything, a finish after every stage. */
  bool IsLaterThan(const RollRecord& aOther) const;

  friend bool operator==(const RollRecord&, const RollRecord&) = default;
};

/** Returns `running`, `finished` or `withdrawn`. */
std::string RollPhaseName(RollPhase aPhase);

/** Returns the JSON text of a record. */
std::string WriteRollRecord(const RollRecord& aRecord);

/** Reads the JSON text of a record; other text is an error of type Faults. */
boost::leaf::result<RollRecord> ReadRollRecord(const std::string& aJson);

} // namespace skylarkchute
