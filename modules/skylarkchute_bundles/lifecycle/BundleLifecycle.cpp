#include "BundleLifecycle.h"

#include "../model/BundleParser.h"
#include "ObjectKeys.h"
#include "RevertRules.h"

#include <algorithm>

namespace skylarkchute {

namespace leaf = boost::leaf;

namespace {

/** Writes of the head with lost answers before the outcome is given up as unknown. */
constexpr int kHeadTries = 4;
/** The platform holds values up to a megabyte. */
constexpr std::size_t kMostObjectBytes = 1'000'000;

leaf::error_id Refuse(LifecycleErrorKind aKind, std::string aMessage)
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

/** Returns the origins of a new head's rolls; an unchanged plan keeps its origin. */
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
    origins.push_back({ name, unchanged ? aHead->mHead.SinceOf(name) : aGeneration });
  }
  return origins;
}

std::string DescribeWinner(const AuditRecord& aWinner)
{
  return "generation " + std::to_string(aWinner.mGeneration) + " (proposal " +
         aWinner.mProposal.Value() + ", " + AuditActionName(aWinner.mAction) + " by " +
         aWinner.mActor + ") was accepted";
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
  return Refuse(LifecycleErrorKind::Refused,
                "an operator needs a name of 1 to 64 letters, digits, '.', '_' or '-'");
}

leaf::result<Proposal> BundleLifecycle::Propose(std::string_view aIniText,
                                                std::optional<Generation> aBase)
{
  BOOST_LEAF_CHECK(CheckOperator());
  BOOST_LEAF_AUTO(bundle, ParseBundle(aIniText));
  BOOST_LEAF_AUTO(head, mArchive.ReadStoredHead());
  const auto parts = SplitBundle(bundle);
  Proposal proposal;
  proposal.mParts = ReferencesOf(parts);
  proposal.mBundle = IdentifyBundle(proposal.mParts);
  proposal.mBase = aBase.value_or(GenerationOf(head));
  proposal.mProposer = mContext.mOperator;
  proposal.mProposedAt = mContext.mNow;
  proposal.mId = IdentifyProposal(proposal.mBundle, proposal.mBase, proposal.mProposer);
  BOOST_LEAF_CHECK(CheckBase(proposal, head));
  if (head && head->mHead.mBundle == proposal.mBundle) {
    return Refuse(LifecycleErrorKind::Refused,
                  "the bundle equals the one in force, generation " +
                    std::to_string(GenerationOf(head)));
  }
  const auto body = WriteProposal(proposal);
  if (body.size() > kMostObjectBytes) {
    return Refuse(LifecycleErrorKind::Refused, "the bundle has too many parts");
  }
  BOOST_LEAF_CHECK(WriteParts(parts, head));
  BOOST_LEAF_CHECK(mAudit.Write(AuditOf(proposal)));
  BOOST_LEAF_CHECK(mStore.PutOnce(ProposalKey(proposal.mId), body));
  return mArchive.FindProposal(proposal.mId);
}

leaf::result<void> BundleLifecycle::WriteParts(const std::vector<BundlePart>& aParts,
                                               const std::optional<StoredHead>& aHead)
{
  for (const auto& it : aParts) {
    if (it.mText.size() > kMostObjectBytes) {
      return Refuse(LifecycleErrorKind::Refused, "part " + it.mName + " is too large");
    }
    if (aHead && HashOfPart(aHead->mHead.mParts, it.mName) == it.mHash) {
      continue;
    }
    BOOST_LEAF_CHECK(mStore.PutOnce(PartKey(it.mHash), it.mText));
  }
  return {};
}

leaf::result<Approval> BundleLifecycle::Approve(const ProposalId& aId)
{
  BOOST_LEAF_CHECK(CheckOperator());
  BOOST_LEAF_AUTO(proposal, mArchive.FindProposal(aId));
  if (proposal.mProposer == mContext.mOperator) {
    return Refuse(LifecycleErrorKind::Refused,
                  "proposal " + aId.Value() + " was made by " + proposal.mProposer.Value() +
                    "; another operator must approve it");
  }
  BOOST_LEAF_AUTO(head, mArchive.ReadStoredHead());
  BOOST_LEAF_CHECK(CheckBase(proposal, head));
  BOOST_LEAF_AUTO(parts, mArchive.ReadParts(proposal.mParts));
  BOOST_LEAF_CHECK(AssembleBundle(parts));
  const Approval approval{ aId, mContext.mOperator, mContext.mNow };
  BOOST_LEAF_CHECK(mAudit.Write(AuditOf(proposal)));
  BOOST_LEAF_CHECK(mAudit.Write(AuditOf(approval, proposal)));
  BOOST_LEAF_CHECK(mStore.PutOnce(ApprovalKey(aId, mContext.mOperator), WriteApproval(approval)));
  return approval;
}

leaf::result<std::vector<OperatorName>> BundleLifecycle::CheckSignOff(const Proposal& aProposal)
{
  BOOST_LEAF_AUTO(approvals, mArchive.FindApprovals(aProposal.mId));
  std::vector<OperatorName> approvers;
  for (const auto& it : approvals) {
    if (it.mOperator != aProposal.mProposer) {
      approvers.push_back(it.mOperator);
    }
  }
  if (approvers.empty()) {
    return Refuse(LifecycleErrorKind::Refused,
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
    return Refuse(LifecycleErrorKind::Refused,
                  "generation " + std::to_string(aProposal.mBase) + " was never accepted");
  }
  BOOST_LEAF_AUTO(winner, FindWinner(aProposal.mBase + 1, aHead->mHead));
  if (winner.mProposal == aProposal.mId) {
    return Refuse(LifecycleErrorKind::Refused,
                  "proposal " + aProposal.mId.Value() + " was accepted as generation " +
                    std::to_string(winner.mGeneration) + "; generation " + std::to_string(current) +
                    " is in force now");
  }
  return Refuse(LifecycleErrorKind::Lost,
                "the bundle is based on generation " + std::to_string(aProposal.mBase) + ", but " +
                  DescribeWinner(winner) + "; propose it again on top of generation " +
                  std::to_string(current));
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
      return Refuse(LifecycleErrorKind::Refused,
                    "version " + record->mTo.Value() + " was withdrawn by roll " +
                      it.mName.Value() + " (" + record->mReason +
                      "); set its state to withdrawn or leave the roll as it is");
    }
  }
  return {};
}

leaf::result<Acceptance> BundleLifecycle::Roll(const ProposalId& aId)
{
  BOOST_LEAF_CHECK(CheckOperator());
  BOOST_LEAF_AUTO(proposal, mArchive.FindProposal(aId));
  BOOST_LEAF_AUTO(head, mArchive.ReadStoredHead());
  if (head && head->mHead.mProposal == aId && head->mHead.mKind == AcceptanceKind::Roll) {
    return Acceptance{ head->mHead, true, false };
  }
  BOOST_LEAF_CHECK(CheckBase(proposal, head));
  BOOST_LEAF_AUTO(approvers, CheckSignOff(proposal));
  BOOST_LEAF_AUTO(parts, mArchive.ReadParts(proposal.mParts));
  BOOST_LEAF_AUTO(bundle, AssembleBundle(parts));
  BOOST_LEAF_CHECK(CheckWithdrawals(head, bundle, proposal.mParts));
  BundleHead wanted;
  wanted.mBundle = proposal.mBundle;
  wanted.mParts = proposal.mParts;
  wanted.mProposal = aId;
  wanted.mApprovers = approvers;
  return Accept(std::move(wanted), head);
}

leaf::result<Acceptance> BundleLifecycle::Revert(Generation aGeneration)
{
  BOOST_LEAF_CHECK(CheckOperator());
  BOOST_LEAF_AUTO(head, mArchive.ReadStoredHead());
  if (head && head->mHead.mGeneration == aGeneration) {
    return Refuse(LifecycleErrorKind::Refused,
                  "generation " + std::to_string(aGeneration) + " is the one in force");
  }
  BOOST_LEAF_AUTO(target, mArchive.Find(std::to_string(aGeneration)));
  BOOST_LEAF_AUTO(wantedBundle, AssembleBundle(target.mParts));
  BOOST_LEAF_AUTO(currentParts, mArchive.ReadParts(head->mHead.mParts));
  BOOST_LEAF_AUTO(currentBundle, AssembleBundle(currentParts));
  const auto widening = FindWidening(currentBundle, wantedBundle);
  if (!widening.empty()) {
    return Refuse(LifecycleErrorKind::Refused,
                  "generation " + std::to_string(aGeneration) +
                    " allows more than the bundle in force: " + widening.front() +
                    "; propose that bundle and have it approved");
  }
  BundleHead wanted;
  wanted.mBundle = target.mId;
  wanted.mParts = target.mProposal->mParts;
  wanted.mProposal = target.mProposal->mId;
  wanted.mKind = AcceptanceKind::Revert;
  wanted.mRevertedTo = aGeneration;
  BOOST_LEAF_CHECK(CheckWithdrawals(head, wantedBundle, wanted.mParts));
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
    // Once the head has moved, nobody could tell any more what it was.
    BOOST_LEAF_CHECK(mAudit.Complete(aHead->mHead));
  }
  BOOST_LEAF_CHECK(mAudit.Write(AuditOfAttempt(aWanted)));
  BOOST_LEAF_AUTO(acceptance, MoveHead(aWanted, aHead));
  // A failure here is made good by the next reader.
  static_cast<void>(mAudit.Write(AuditOf(acceptance.mHead)));
  return acceptance;
}

leaf::result<Acceptance> BundleLifecycle::MoveHead(const BundleHead& aWanted,
                                                   const std::optional<StoredHead>& aHead)
{
  const auto version = aHead ? std::optional(aHead->mVersion) : std::nullopt;
  bool answerLost = false;
  for (int n = 0; n < kHeadTries; ++n) {
    const auto status = mStore.PutIf(std::string(kHeadKey), WriteHead(aWanted), version);
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
                     : FailLost(aWanted, *seen);
  }
  if (!answerLost) {
    return Refuse(LifecycleErrorKind::Unavailable,
                  "the platform did not answer; the head was not moved");
  }
  return Refuse(LifecycleErrorKind::Unknown,
                "the platform did not say whether generation " +
                  std::to_string(aWanted.mGeneration) +
                  " was accepted; give the same command again to learn it");
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
  // Whoever moved the head on has recorded the acceptance before.
  BOOST_LEAF_AUTO(record, mAudit.FindAcceptance(aWanted.mGeneration));
  return record && WriteAuditRecord(*record) == WriteAuditRecord(AuditOf(aWanted));
}

leaf::result<Acceptance> BundleLifecycle::FailLost(const BundleHead& aWanted,
                                                   const std::optional<StoredHead>& aSeen)
{
  if (!aSeen) {
    return Refuse(LifecycleErrorKind::Refused, "the head is gone; nothing was changed");
  }
  BOOST_LEAF_AUTO(winner, FindWinner(aWanted.mGeneration, aSeen->mHead));
  return Refuse(LifecycleErrorKind::Lost,
                "another bundle was accepted first: " + DescribeWinner(winner) +
                  "; propose yours again on top of generation " +
                  std::to_string(aSeen->mHead.mGeneration));
}

leaf::result<AuditRecord> BundleLifecycle::FindWinner(Generation aGeneration,
                                                      const BundleHead& aHead)
{
  if (aHead.mGeneration <= aGeneration) {
    return AuditOf(aHead);
  }
  BOOST_LEAF_AUTO(found, mAudit.FindAcceptance(aGeneration));
  return found.value_or(AuditOf(aHead));
}

} // namespace skylarkchute
