#include "BundleLifecycle.h"

#include "../model/BundleParser.h"
#include "ObjectKeys.h"
#include "RevertRules.h"

#include <algorithm>

namespace skylarkchute {

namespace leaf = boost::leaf;

namespace {

/** Attempts to write the head before the outcome is reported as unavailable or unknown. */
constexpr int kMaxHeadWriteAttempts = 4;
/** The platform stores values of at most one megabyte. */
constexpr std::size_t kMaxObjectBytes = 1'000'000;

leaf::error_id NewError(LifecycleErrorKind aKind, std::string aMessage)
{
  return leaf::new_error(LifecycleError{ aKind, std::move(aMessage) });
}

Generation GenerationOf(const std::optional<StoredHead>& aHead)
{
  return aHead ? aHead->mHead.mGeneration : 0;
}

std::string HashOfPart(const std::vector<PartReference>& aParts, const std::string& aName)
{
  const auto it = std::find_if(
    aParts.begin(), aParts.end(), [&](const PartReference& aPart) { return aPart.mName == aName; });
  return it == aParts.end() ? std::string() : it->mHash;
}

std::string RollPartName(const RollName& aRoll)
{
  return "roll/" + aRoll.Value();
}

/** Returns the roll origins of a new head. A roll with an unchanged plan keeps its origin. */
std::vector<RollOrigin> OriginsOf(const std::vector<PartReference>& aParts,
                                  Generation aGeneration,
                                  const std::optional<StoredHead>& aHead)
{
  constexpr std::string_view kPrefix = "roll/";
  std::vector<RollOrigin> origins;
  for (const auto& it : aParts) {
    if (it.mName.rfind(kPrefix, 0) != 0) {
      continue;
    }
    const RollName name(it.mName.substr(kPrefix.size()));
    const auto unchanged = aHead && HashOfPart(aHead->mHead.mParts, it.mName) == it.mHash;
    origins.push_back({ name, unchanged ? aHead->mHead.UnchangedSince(name) : aGeneration });
  }
  return origins;
}

std::string DescribeAcceptance(const AuditRecord& aAcceptance)
{
  return "generation " + std::to_string(aAcceptance.mGeneration) + " (proposal " +
         aAcceptance.mProposal.Value() + ", " + AuditActionName(aAcceptance.mAction) + " by " +
         aAcceptance.mActor + ") was accepted";
}

} // namespace

BundleLifecycle::BundleLifecycle(ObjectApi& aApi, OperatorContext aContext)
  : mStore(aApi, CallPurpose::Bundle)
  , mArchive(aApi)
  , mAudit(aApi)
  , mContext(std::move(aContext))
{
}

leaf::result<void> BundleLifecycle::CheckOperator() const
{
  if (IsPlainName(mContext.mOperator.Value())) {
    return {};
  }
  return NewError(LifecycleErrorKind::Refused,
                  "an operator needs a name of 1 to 64 letters, digits, '.', '_' or '-'");
}

leaf::result<Proposal> BundleLifecycle::Propose(std::string_view aIniText,
                                                std::optional<Generation> aBase)
{
  if (auto checked = CheckOperator(); !checked) {
    return checked.error();
  }
  BOOST_LEAF_AUTO(bundle, ParseBundle(aIniText));
  BOOST_LEAF_AUTO(head, mArchive.ReadStoredHead());
  const auto parts = SplitBundle(bundle);
  Proposal proposal;
  proposal.mParts = ReferencesOf(parts);
  proposal.mBundle = ComputeBundleId(proposal.mParts);
  proposal.mBase = aBase.value_or(GenerationOf(head));
  proposal.mProposer = mContext.mOperator;
  proposal.mProposedAt = mContext.mNow;
  proposal.mId = ComputeProposalId(proposal.mBundle, proposal.mBase, proposal.mProposer);
  if (auto checked = CheckBase(proposal, head); !checked) {
    return checked.error();
  }
  if (head && head->mHead.mBundle == proposal.mBundle) {
    return NewError(LifecycleErrorKind::Refused,
                    "the bundle equals the one in force, generation " +
                      std::to_string(GenerationOf(head)));
  }
  const auto body = WriteProposal(proposal);
  if (body.size() > kMaxObjectBytes) {
    return NewError(LifecycleErrorKind::Refused, "the bundle has too many parts");
  }
  if (auto checked = WriteParts(parts, head); !checked) {
    return checked.error();
  }
  if (auto checked = mAudit.Write(MakeAuditRecord(proposal)); !checked) {
    return checked.error();
  }
  if (auto checked = mStore.PutIfAbsent(ProposalKey(proposal.mId), body); !checked) {
    return checked.error();
  }
  return mArchive.FindProposal(proposal.mId);
}

leaf::result<void> BundleLifecycle::WriteParts(const std::vector<BundlePart>& aParts,
                                               const std::optional<StoredHead>& aHead)
{
  for (const auto& it : aParts) {
    if (it.mText.size() > kMaxObjectBytes) {
      return NewError(LifecycleErrorKind::Refused, "part " + it.mName + " is too large");
    }
    if (aHead && HashOfPart(aHead->mHead.mParts, it.mName) == it.mHash) {
      continue;
    }
    if (auto checked = mStore.PutIfAbsent(PartKey(it.mHash), it.mText); !checked) {
      return checked.error();
    }
  }
  return {};
}

leaf::result<Approval> BundleLifecycle::Approve(const ProposalId& aId)
{
  if (auto checked = CheckOperator(); !checked) {
    return checked.error();
  }
  BOOST_LEAF_AUTO(proposal, mArchive.FindProposal(aId));
  if (proposal.mProposer == mContext.mOperator) {
    return NewError(LifecycleErrorKind::Refused,
                    "proposal " + aId.Value() + " was made by " + proposal.mProposer.Value() +
                      "; another operator must approve it");
  }
  BOOST_LEAF_AUTO(head, mArchive.ReadStoredHead());
  if (auto checked = CheckBase(proposal, head); !checked) {
    return checked.error();
  }
  BOOST_LEAF_AUTO(parts, mArchive.ReadParts(proposal.mParts));
  if (auto checked = AssembleBundle(parts); !checked) {
    return checked.error();
  }
  Approval approval{ aId, mContext.mOperator, mContext.mNow };
  if (auto checked = mAudit.Write(MakeAuditRecord(proposal)); !checked) {
    return checked.error();
  }
  if (auto checked = mAudit.Write(MakeAuditRecord(approval, proposal)); !checked) {
    return checked.error();
  }
  if (auto checked =
        mStore.PutIfAbsent(ApprovalKey(aId, mContext.mOperator), WriteApproval(approval));
      !checked) {
    return checked.error();
  }
  return approval;
}

leaf::result<std::vector<OperatorName>> BundleLifecycle::CheckApprovals(const Proposal& aProposal)
{
  BOOST_LEAF_AUTO(approvals, mArchive.FindApprovals(aProposal.mId));
  std::vector<OperatorName> approvers;
  for (const auto& it : approvals) {
    if (it.mOperator != aProposal.mProposer) {
      approvers.push_back(it.mOperator);
    }
  }
  if (approvers.empty()) {
    return NewError(LifecycleErrorKind::Refused,
                    "proposal " + aProposal.mId.Value() +
                      " is not approved; an operator other than " + aProposal.mProposer.Value() +
                      " must approve it");
  }
  return approvers;
}

leaf::result<void> BundleLifecycle::CheckBase(const Proposal& aProposal,
                                              const std::optional<StoredHead>& aHead)
{
  const auto current = GenerationOf(aHead);
  if (aProposal.mBase == current) {
    return {};
  }
  if (aProposal.mBase > current) {
    return NewError(LifecycleErrorKind::Refused,
                    "generation " + std::to_string(aProposal.mBase) + " was never accepted");
  }
  BOOST_LEAF_AUTO(accepted, FindAcceptanceOrHead(aProposal.mBase + 1, aHead->mHead));
  if (accepted.mProposal == aProposal.mId) {
    return NewError(LifecycleErrorKind::Refused,
                    "proposal " + aProposal.mId.Value() + " was accepted as generation " +
                      std::to_string(accepted.mGeneration) + "; generation " +
                      std::to_string(current) + " is in force now");
  }
  return NewError(LifecycleErrorKind::Conflict,
                  "the bundle is based on generation " + std::to_string(aProposal.mBase) +
                    ", but " + DescribeAcceptance(accepted) +
                    "; propose it again on top of generation " + std::to_string(current));
}

leaf::result<void> BundleLifecycle::CheckWithdrawals(const std::optional<StoredHead>& aHead,
                                                     const Bundle& aWanted,
                                                     const std::vector<PartReference>& aParts)
{
  if (!aHead) {
    return {};
  }
  for (const auto& it : aHead->mHead.mRolls) {
    const auto part = RollPartName(it.mName);
    if (HashOfPart(aHead->mHead.mParts, part) == HashOfPart(aParts, part)) {
      continue;
    }
    BOOST_LEAF_AUTO(object, mStore.Get(RollKey(it.mSince, it.mName)));
    if (!object) {
      continue;
    }
    const auto record = ReadRollRecord(object->mBody);
    if (!record || record->mPhase != RollPhase::Withdrawn) {
      continue;
    }
    const auto* version = aWanted.FindVersion(record->mTo);
    if (version && version->mState != VersionState::Withdrawn) {
      return NewError(LifecycleErrorKind::Refused,
                      "version " + record->mTo.Value() + " was withdrawn by roll " +
                        it.mName.Value() + " (" + record->mReason +
                        "); set its state to withdrawn or leave the roll as it is");
    }
  }
  return {};
}

leaf::result<Acceptance> BundleLifecycle::Roll(const ProposalId& aId)
{
  if (auto checked = CheckOperator(); !checked) {
    return checked.error();
  }
  BOOST_LEAF_AUTO(proposal, mArchive.FindProposal(aId));
  BOOST_LEAF_AUTO(head, mArchive.ReadStoredHead());
  if (head && head->mHead.mProposal == aId && head->mHead.mKind == AcceptanceKind::Roll) {
    return Acceptance{ head->mHead, true, false };
  }
  if (auto checked = CheckBase(proposal, head); !checked) {
    return checked.error();
  }
  BOOST_LEAF_AUTO(approvers, CheckApprovals(proposal));
  BOOST_LEAF_AUTO(parts, mArchive.ReadParts(proposal.mParts));
  BOOST_LEAF_AUTO(bundle, AssembleBundle(parts));
  if (auto checked = CheckWithdrawals(head, bundle, proposal.mParts); !checked) {
    return checked.error();
  }
  BundleHead wanted;
  wanted.mBundle = proposal.mBundle;
  wanted.mParts = proposal.mParts;
  wanted.mProposal = aId;
  wanted.mApprovers = approvers;
  return Accept(std::move(wanted), head);
}

leaf::result<Acceptance> BundleLifecycle::Revert(Generation aGeneration)
{
  if (auto checked = CheckOperator(); !checked) {
    return checked.error();
  }
  BOOST_LEAF_AUTO(head, mArchive.ReadStoredHead());
  if (head && head->mHead.mGeneration == aGeneration) {
    return NewError(LifecycleErrorKind::Refused,
                    "generation " + std::to_string(aGeneration) + " is already in force");
  }
  BOOST_LEAF_AUTO(target, mArchive.Find(std::to_string(aGeneration)));
  BOOST_LEAF_AUTO(wantedBundle, AssembleBundle(target.mParts));
  BOOST_LEAF_AUTO(currentParts, mArchive.ReadParts(head->mHead.mParts));
  BOOST_LEAF_AUTO(currentBundle, AssembleBundle(currentParts));
  const auto addedPermissions = FindAddedPermissions(currentBundle, wantedBundle);
  if (!addedPermissions.empty()) {
    return NewError(LifecycleErrorKind::Refused,
                    "generation " + std::to_string(aGeneration) +
                      " allows more than the bundle in force: " + addedPermissions.front() +
                      "; propose that bundle and have it approved");
  }
  BundleHead wanted;
  wanted.mBundle = target.mId;
  wanted.mParts = target.mProposal->mParts;
  wanted.mProposal = target.mProposal->mId;
  wanted.mKind = AcceptanceKind::Revert;
  wanted.mRevertedTo = aGeneration;
  if (auto checked = CheckWithdrawals(head, wantedBundle, wanted.mParts); !checked) {
    return checked.error();
  }
  return Accept(std::move(wanted), head);
}

leaf::result<Acceptance> BundleLifecycle::Accept(BundleHead aWanted,
                                                 const std::optional<StoredHead>& aHead)
{
  aWanted.mGeneration = GenerationOf(aHead) + 1;
  aWanted.mRolls = OriginsOf(aWanted.mParts, aWanted.mGeneration, aHead);
  aWanted.mOperator = mContext.mOperator;
  aWanted.mAcceptedAt = mContext.mNow;
  if (aHead) {
    // Once the head is overwritten, the missing records can no longer be derived from it.
    if (auto checked = mAudit.WriteMissingRecords(aHead->mHead); !checked) {
      return checked.error();
    }
  }
  if (auto checked = mAudit.Write(MakeAttemptRecord(aWanted)); !checked) {
    return checked.error();
  }
  BOOST_LEAF_AUTO(acceptance, MoveHead(aWanted, aHead));
  // If this write fails, the next reader writes the record from the head.
  static_cast<void>(mAudit.Write(MakeAuditRecord(acceptance.mHead)));
  return acceptance;
}

leaf::result<Acceptance> BundleLifecycle::MoveHead(const BundleHead& aWanted,
                                                   const std::optional<StoredHead>& aHead)
{
  const auto version = aHead ? std::optional(aHead->mVersion) : std::nullopt;
  bool answerLost = false;
  for (int n = 0; n < kMaxHeadWriteAttempts; ++n) {
    const auto status = mStore.ConditionalPut(std::string(kHeadKey), WriteHead(aWanted), version);
    if (status == ObjectStatus::Ok) {
      return Acceptance{ aWanted, false, answerLost };
    }
    if (status != ObjectStatus::Conflict) {
      answerLost = answerLost || status == ObjectStatus::Unknown;
      continue;
    }
    auto seen = mArchive.ReadStoredHead();
    if (!seen) {
      break;
    }
    auto accepted = IsAccepted(aWanted, *seen);
    if (!accepted) {
      break;
    }
    return *accepted ? leaf::result<Acceptance>(Acceptance{ aWanted, false, answerLost })
                     : NewConflictError(aWanted, *seen);
  }
  if (!answerLost) {
    return NewError(LifecycleErrorKind::Unavailable,
                    "the platform did not answer; the head was not moved");
  }
  return NewError(LifecycleErrorKind::Unknown,
                  "the platform did not say whether generation " +
                    std::to_string(aWanted.mGeneration) +
                    " was accepted; repeat the command to find out");
}

leaf::result<bool> BundleLifecycle::IsAccepted(const BundleHead& aWanted,
                                               const std::optional<StoredHead>& aSeen)
{
  const auto generation = GenerationOf(aSeen);
  if (generation < aWanted.mGeneration) {
    return false;
  }
  if (generation == aWanted.mGeneration) {
    return WriteHead(aSeen->mHead) == WriteHead(aWanted);
  }
  // An operator who replaces the head writes the record of its acceptance first.
  BOOST_LEAF_AUTO(record, mAudit.FindAcceptance(aWanted.mGeneration));
  return record && WriteAuditRecord(*record) == WriteAuditRecord(MakeAuditRecord(aWanted));
}

leaf::result<Acceptance> BundleLifecycle::NewConflictError(const BundleHead& aWanted,
                                                           const std::optional<StoredHead>& aSeen)
{
  if (!aSeen) {
    return NewError(LifecycleErrorKind::Refused,
                    "the object bundles/head is gone; nothing was changed");
  }
  BOOST_LEAF_AUTO(accepted, FindAcceptanceOrHead(aWanted.mGeneration, aSeen->mHead));
  return NewError(LifecycleErrorKind::Conflict,
                  "another bundle was accepted first: " + DescribeAcceptance(accepted) +
                    "; propose yours again on top of generation " +
                    std::to_string(aSeen->mHead.mGeneration));
}

leaf::result<AuditRecord> BundleLifecycle::FindAcceptanceOrHead(Generation aGeneration,
                                                                const BundleHead& aHead)
{
  if (aHead.mGeneration <= aGeneration) {
    return MakeAuditRecord(aHead);
  }
  BOOST_LEAF_AUTO(found, mAudit.FindAcceptance(aGeneration));
  return found.value_or(MakeAuditRecord(aHead));
}

} // namespace skylarkchute
