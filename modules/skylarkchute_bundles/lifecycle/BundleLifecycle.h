#pragma once

#include "BundleArchive.h"

#include <string_view>

namespace skylarkchute {

/** Who gives a command, and when. */
struct OperatorContext
{
  OperatorName mOperator;
  WallTime mNow;
};

/** What a roll or revert did. */
struct Acceptance
{
  BundleHead mHead;
  bool mWasInForce = false; /**< It was accepted before; nothing was changed. */
  bool mAnswerLost = false; /**< The answer to the write was lost; reading back told. */
};

/** Proposes, approves, rolls and reverts bundles by writes to the platform.

    The conditional update of `bundles/head` is the acceptance; every audit record is written before
    its effect, and the record of an acceptance is completed from the head by any later reader.
    Each command may be given again after a failure. Errors are of type LifecycleError, faults of a
    bundle of type Faults. */
class BundleLifecycle
{
public:
  BundleLifecycle(ObjectApi& aApi, OperatorContext aContext);

  /** Stores a bundle as a proposal.
      @param aBase  the generation that the author started from; the one in force when empty */
  boost::leaf::result<Proposal> Propose(std::string_view aIniText,
                                        std::optional<Generation> aBase = std::nullopt);

  /** Signs a proposal off. The proposer cannot. */
  boost::leaf::result<Approval> Approve(const ProposalId& aId);

  /** Puts an approved proposal in force, if its base is still the generation in force. */
  boost::leaf::result<Acceptance> Roll(const ProposalId& aId);

  /** Puts the bundle of an earlier generation in force as a new generation. One operator suffices
      while it allows nothing more than the bundle in force. @see FindWidening */
  boost::leaf::result<Acceptance> Revert(Generation aGeneration);

private:
  boost::leaf::result<void> CheckOperator() const;
  boost::leaf::result<void> WriteParts(const std::vector<BundlePart>& aParts,
                                       const std::optional<StoredHead>& aHead);
  boost::leaf::result<std::vector<OperatorName>> CheckSignOff(const Proposal& aProposal);
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
  boost::leaf::result<Acceptance> FailLost(const BundleHead& aWanted,
                                           const std::optional<StoredHead>& aSeen);
  boost::leaf::result<AuditRecord> FindWinner(Generation aGeneration, const BundleHead& aHead);

  StoreClient mStore;
  BundleArchive mArchive;
  AuditTrail mAudit;
  OperatorContext mContext;
};

} // namespace skylarkchute
