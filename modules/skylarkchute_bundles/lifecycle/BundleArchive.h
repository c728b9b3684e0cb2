#pragma once

#include "AuditTrail.h"
#include "Proposal.h"
#include "StoreClient.h"

#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** The head and the object version that a conditional update must name. */
struct StoredHead
{
  BundleHead mHead;
  ObjectVersion mVersion;
};

/** The bundle that a reference resolves to. */
struct ArchivedBundle
{
  std::string mDescription; /**< For example `generation 7` or `proposal 01ab...`. */
  BundleId mId;
  std::vector<BundlePart> mParts;
  std::optional<BundleHead> mHead;   /**< Set only for the bundle in force. */
  std::optional<Proposal> mProposal; /**< Not set for the bundle in force. */
  std::vector<Approval> mApprovals;
};

/** The changed lines of one part that differs between two bundles. */
struct PartDifference
{
  std::string mName;
  std::vector<std::string> mRemovedLines;
  std::vector<std::string> mAddedLines;
};

/** A recent proposal with its approvers and its outcome. */
struct ProposalSummary
{
  ProposalId mId;
  OperatorName mProposer;
  Generation mBase = 0;
  WallTime mProposedAt;
  std::vector<OperatorName> mApprovers;
  Generation mAcceptedGeneration = 0; /**< Generation that a roll of it created, 0 if none. */
  bool mOpen = false; /**< Its base is the generation in force, so it may still be rolled. */
};

/** Reads bundles, proposals and approvals. Errors are of type LifecycleError. */
class BundleArchive
{
public:
  explicit BundleArchive(ObjectApi& aApi);

  /** Returns the head, or `std::nullopt` before the first bundle was accepted. */
  boost::leaf::result<std::optional<StoredHead>> ReadStoredHead();

  /** Returns a proposal. A missing or damaged one is an error. */
  boost::leaf::result<Proposal> FindProposal(const ProposalId& aId);

  /** Returns the valid approvals of a proposal. */
  boost::leaf::result<std::vector<Approval>> FindApprovals(const ProposalId& aId);

  /** Returns the referenced parts. A missing part or a wrong hash is an error. */
  boost::leaf::result<std::vector<BundlePart>> ReadParts(
    const std::vector<PartReference>& aReferences);

  /** Returns the bundle that a reference resolves to.
      @param aReference  `head`, a generation number or a proposal identifier */
  boost::leaf::result<ArchivedBundle> Find(const std::string& aReference);

  /** Returns the parts that differ between the bundles of two references. */
  boost::leaf::result<std::vector<PartDifference>> Diff(const std::string& aFrom,
                                                        const std::string& aTo);

  /** Returns the proposals made since a time, oldest first. Writes missing audit records. */
  boost::leaf::result<std::vector<ProposalSummary>> List(WallTime aSince);

private:
  boost::leaf::result<ProposalId> ProposalOfGeneration(Generation aGeneration);

  StoreClient mStore;
  AuditTrail mAudit;
};

} // namespace skylarkchute
