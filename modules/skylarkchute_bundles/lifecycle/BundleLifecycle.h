#pragma once

#include "BundleArchive.h"

#include <string_view>

namespace skylarkchute {

/** The operator who gives a command, and the time of the command. */
struct OperatorContext
{
  OperatorName mOperator;
  WallTime mNow;
};

/** The result of a roll or revert. */
struct Acceptance
{
  BundleHead mHead;
  bool mAlreadyInForce = false; /**< An earlier roll put it in force; nothing was changed. */
  bool mAnswerLost = false; /**< A reply to the head write was lost; the outcome is known now. */
};

/** Proposes, approves, rolls and reverts bundles by writing objects to the platform.

    A bundle is accepted by a conditional update of `bundles/head`. Proposals, approvals and
    attempts are recorded in the audit trail before they take effect. If the record of an
    acceptance is missing, any later reader writes it from the head. Each command is safe to repeat
    after a failure. Errors are of type LifecycleError; faults of a bundle are of type Faults. */
class BundleLifecycle
{
public:
  BundleLifecycle(ObjectApi& aApi, OperatorContext aContext);

  /** Stores a bundle as a proposal.
      @param aBase  the generation that the bundle is based on; if empty, the one in force */
  boost::leaf::result<Proposal> Propose(std::string_view aIniText,
                                        std::optional<Generation> aBase = std::nullopt);

  /** Approves a proposal. The operator must not be its proposer. */
  boost::leaf::result<Approval> Approve(const ProposalId& aId);

  /** Puts an approved proposal in force. Its base must still be the generation in force. If a roll
      of this proposal is already in force, this succeeds and changes nothing. */
  boost::leaf::result<Acceptance> Roll(const ProposalId& aId);

  /** Puts the bundle of an earlier generation in force as a new generation. No approval is needed;
      a bundle that allows more than the one in force is refused. @see FindAddedPermissions */
  boost::leaf::result<Acceptance> Revert(Generation aGeneration);

private:
  boost::leaf::result<void> CheckOperator() const;
  boost::leaf::result<void> WriteParts(const std::vector<BundlePart>& aParts,
                                       const std::optional<StoredHead>& aHead);
  boost::leaf::result<std::vector<OperatorName>> CheckApprovals(const Proposal& aProposal);
  boost::leaf::result<void> CheckBase(const Proposal& aProposal,
                                      const std::optional<StoredHead>& aHead);
  boost::leaf::result<void> CheckWithdrawals(const std::optional<StoredHead>& aHead,
                                             const Bundle& aWanted,
                                             const std::vector<PartReference>& aParts);
  boost::leaf::result<Acceptance> Accept(BundleHead aWanted,
                                         const std::optional<StoredHead>& aHead);
  boost::leaf::result<Acceptance> MoveHead(const BundleHead& aWanted,
                                           const std::optional<StoredHead>& aHead);
  boost::leaf::result<bool> IsAccepted(const BundleHead& aWanted,
                                       const std::optional<StoredHead>& aSeen);
  boost::leaf::result<Acceptance> NewConflictError(const BundleHead& aWanted,
                                                   const std::optional<StoredHead>& aSeen);
  boost::leaf::result<AuditRecord> FindAcceptanceOrHead(Generation aGeneration,
                                                        const BundleHead& aHead);

  StoreClient mStore;
  BundleArchive mArchive;
  AuditTrail mAudit;
  OperatorContext mContext;
};

} // namespace skylarkchute
