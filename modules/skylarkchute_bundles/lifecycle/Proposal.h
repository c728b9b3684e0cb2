#pragma once

#include "../parts/BundleHead.h"

#include <boost/leaf.hpp>

#include <string>
#include <vector>

namespace skylarkchute {

/** The object `bundles/proposals/<id>`: a bundle that an operator proposes to put in force. It is
    immutable and references its parts, which are separate objects. */
struct Proposal
{
  ProposalId mId; /**< ComputeProposalId of mBundle, mBase and mProposer. */
  BundleId mBundle;
  Generation mBase = 0; /**< Generation that the bundle is based on. */
  OperatorName mProposer;
  WallTime mProposedAt;
  std::vector<PartReference> mParts;
};

/** The object `bundles/approvals/<proposal>/<operator>`: an operator's approval of a proposal. */
struct Approval
{
  ProposalId mProposal;
  OperatorName mOperator;
  WallTime mApprovedAt;
};

/** Returns the identifier of a proposal: the first 16 hexadecimal digits of the SHA-256 of its
    bundle, base and proposer. */
ProposalId ComputeProposalId(const BundleId& aBundle,
                             Generation aBase,
                             const OperatorName& aProposer);

/** Return the JSON text of a proposal or approval. */
std::string WriteProposal(const Proposal& aProposal);
std::string WriteApproval(const Approval& aApproval);

/** Parse the JSON text of a proposal or approval. Invalid text, or a proposal whose identifiers do
    not match its content, is an error of type Faults. */
boost::leaf::result<Proposal> ReadProposal(const std::string& aJson);
boost::leaf::result<Approval> ReadApproval(const std::string& aJson);

} // namespace skylarkchute
