#pragma once

#include "../parts/BundleHead.h"

#include <boost/leaf.hpp>

#include <string>
#include <vector>

namespace skylarkchute {

/** The object `bundles/proposals/<id>`: a bundle that an operator wants in force. Immutable; its
    parts are objects of their own. */
struct Proposal
{
  ProposalId mId; /**< IdentifyProposal of the members below, but for the time. */
  BundleId mBundle;
  Generation mBase = 0; /**< The generation in force when it was made. */
  OperatorName mProposer;
  WallTime mProposedAt;
  std::vector<PartReference> mParts;
};

/** The object `bundles/approvals/<proposal>/<operator>`. */
struct Approval
{
  ProposalId mProposal;
  OperatorName mOperator;
  WallTime mApprovedAt;
};

/** Returns the identifier of a proposal: a digest of its bundle, base and proposer. */
ProposalId IdentifyProposal(const BundleId& aBundle,
                            Generation aBase,
                            const OperatorName& aProposer);

/** Return the JSON text of an object. */
std::string WriteProposal(const Proposal& aProposal);
std::string WriteApproval(const Approval& aApproval);

/** Read the JSON text of an object. Other text, or a proposal whose identifier does not match its
    content, is an error of type Faults. */
boost::leaf::result<Proposal> ReadProposal(const std::string& aJson);
boost::leaf::result<Approval> ReadApproval(const std::string& aJson);

} // namespace skylarkchute
