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
  Attempted, /**< A roll or revert was about to move the head. */
  Rolled,
  Reverted,
  Withdrawn, /**< By an instance, on evidence. */
};

/** One object below `audit/`: who did what, and when. */
struct AuditRecord
{
  Generation mGeneration = 0; /**< The one it made, or the one in force at the time. */
  AuditAction mAction = AuditAction::Proposed;
  std::string mActor;   /**< Operator, or the instance that withdrew. */
  ProposalId mProposal; /**< Empty after a withdrawal. */
  BundleId mBundle;     /**< Empty after a withdrawal. */
  std::string mDetail;
  WallTime mAt;

  /** Returns the key of the record; a repeated action has the same key. */
  std::string Key() const;
};

/** Returns `proposed`, `approved`, `attempted`, `rolled`, `reverted` or `withdrawn`. */
std::string AuditActionName(AuditAction aAction);

/** Return the record of an action. All that accepted or withdrew something derive the record from
    the object itself, so that any reader can write it. */
AuditRecord AuditOf(const Proposal& aProposal);
AuditRecord AuditOf(const Approval& aApproval, const Proposal& aProposal);
AuditRecord AuditOfAttempt(const BundleHead& aWanted);
AuditRecord AuditOf(const BundleHead& aHead);
AuditRecord AuditOfWithdrawal(const RollRecord& aRecord);

/** Returns the key of the record that says which bundle a generation accepted. */
std::string AcceptanceKey(Generation aGeneration);

/** Returns the JSON text of a record. */
std::string WriteAuditRecord(const AuditRecord& aRecord);

/** Reads the JSON text of a record; other text is an error of type Faults. */
boost::leaf::result<AuditRecord> ReadAuditRecord(const std::string& aJson);

} // namespace skylarkchute
