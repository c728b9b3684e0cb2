#pragma once

#include "AuditTrail.h"
#include "Proposal.h"
#include "StoreClient.h"

#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** The head with the version under which it may be moved. */
struct StoredHead
{
  BundleHead mHead;
  ObjectVersion mVersion;
};

/** A bundle that a reference resolved to. */
struct ArchivedBundle
{
  std::string mDescription; /**< Such as `generation 7` or `proposal 01ab...`. */
  BundleId mId;
  std::vector<BundlePart> mParts;
  std::optional<BundleHead> mHead; /**< When it is the one in force. */
  std::optional<Proposal> mProposal;
  std::vector<Approval> mApprovals;
};

/** One part that differs between two bundles. */
struct PartDifference
{
  std::string mName;
  std::vector<std::string> mRemovedLines;
  std::vector<std::string> mAddedLines;
};

/** A recent proposal and what became of it. */
struct ProposalSummary
{
  ProposalId mId;
  OperatorName mProposer;
  Generation mBase = 0;
  WallTime mProposedAt;
  std::vector<OperatorName> mApprovers;
  Generation mAcceptedAs = 0; /**< 0 unless it was accepted. */
  bool mOpen = false;         /**< Its base is the generation in force. */
};

/** Reads bundles, proposals and approvals. Errors are of type LifecycleError. */
class BundleArchive
{
public:
  explicit BundleArchive(ObjectApi& aApi);

  /** Returns the head, or nothing before the first bundle. */
  boost::leaf::result<std::optional<StoredHead>> ReadStoredHead();

  /** Returns a proposal; one that does not exist is an error. */
  boost::leaf::result<Proposal> FindProposal(const ProposalId& aId);

  /** Returns the approvals of a proposal. */
  boost::leaf::result<std::vector<Approval>> FindApprovals(const ProposalId& aId);

  /** Returns the parts, each checked by its hash. */
  boost::leaf::result<std::vector<BundlePart>> ReadParts(
    const std::vector<PartReference>& aReferences);

  /** Returns a bundle.
      @param aReference  `head`, a generation number or a proposal identifier */
  boost::leaf::result<ArchivedBundle> Find(const std::string& aReference);

  /** Returns the parts that differ between two references. */
  boost::leaf::result<std::vector<PartDifference>> Diff(const std::string& aFrom,
                                                        const std::string& aTo);

  /** Returns the proposals made since a time, oldest first. */
  boost::leaf::result<std::vector<ProposalSummary>> List(WallTime aSince);

private:
  boost::leaf::result<ProposalId> ProposalOfGeneration(Generation aGeneration);

  StoreClient mStore;
  AuditTrail mAudit;
};

} // namespace skylarkchute
