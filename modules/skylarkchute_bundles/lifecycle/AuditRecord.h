#pragma once

#include "../parts/BundleHead.h"
#include "../rolls/RollRecord.h"
#include "Proposal.h"

#include <boost/leaf.hpp>

#include <string>

namespace skylarkchute {

enum class AuditAction
{
  Proposed,
  Approved,
  Attempted, /**< Written before a roll or revert tries to update the head. */
  Rolled,
  Reverted,
  Withdrawn, /**< An instance withdrew a version because of its evidence. */
};

/** One object under `audit/`: an action, its actor and its time. */
struct AuditRecord
{
  Generation mGeneration = 0; /**< Created by the action, or in force at the time. */
  AuditAction mAction = AuditAction::Proposed;
  std::string mActor;   /**< The operator, or the instance that withdrew a version. */
  ProposalId mProposal; /**< Empty for a withdrawal. */
  BundleId mBundle;     /**< Empty for a withdrawal. */
  std::string mDetail;
  WallTime mAt;

  /** Returns the key of the record. Repeating an action gives the same key. */
  std::string Key() const;
};

/** Returns `proposed`, `approved`, `attempted`, `rolled`, `reverted` or `withdrawn`. */
std::string AuditActionName(AuditAction aAction);

/** Return the audit record of an action. Records of acceptances and withdrawals are derived from
    the stored object alone, so that any reader can write a missing one. */
AuditRecord MakeAuditRecord(const Proposal& aProposal);
AuditRecord MakeAuditRecord(const Approval& aApproval, const Proposal& aProposal);
AuditRecord MakeAttemptRecord(const BundleHead& aWanted);
AuditRecord MakeAuditRecord(const BundleHead& aHead);
AuditRecord MakeWithdrawalRecord(const RollRecord& aRecord);

/** Returns the key of the audit record of the roll or revert that created a generation. */
std::string AcceptanceAuditKey(Generation aGeneration);

/** Returns the JSON text of a record. */
std::string WriteAuditRecord(const AuditRecord& aRecord);

/** Parses the JSON text of a record; invalid text is an error of type Faults. */
boost::leaf::result<AuditRecord> ReadAuditRecord(const std::string& aJson);

} // namespace skylarkchute
