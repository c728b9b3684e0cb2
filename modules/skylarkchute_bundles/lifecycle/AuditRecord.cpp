#include "AuditRecord.h"

#include "../json/JsonObject.h"
#include "ObjectKeys.h"

#include <array>

namespace skylarkchute {

namespace leaf = boost::leaf;

namespace {

constexpr std::array kActions = { AuditAction::Proposed,  AuditAction::Approved,
                                  AuditAction::Attempted, AuditAction::Rolled,
                                  AuditAction::Reverted,  AuditAction::Withdrawn };

constexpr const char* kAccepted = "accepted";

AuditAction ReadAction(JsonObject& aObject)
{
  const auto name = aObject.Text("action");
  for (const auto it : kActions) {
    if (AuditActionName(it) == name) {
      return it;
    }
  }
  aObject.Refuse("action");
  return AuditAction::Attempted;
}

std::string JoinOperators(const std::vector<OperatorName>& aOperators)
{
  std::string text;
  for (const auto& it : aOperators) {
    text += (text.empty() ? "" : ", ") + it.Value();
  }
  return text;
}

std::string DetailOf(const BundleHead& aHead)
{
  return aHead.mKind == AcceptanceKind::Revert
           ? "to generation " + std::to_string(aHead.mRevertedTo)
           : "approved by " + JoinOperators(aHead.mApprovers);
}

} // namespace

std::string AuditActionName(AuditAction aAction)
{
  switch (aAction) {
    case AuditAction::Proposed:
      return "proposed";
    case AuditAction::Approved:
      return "approved";
    case AuditAction::Attempted:
      return "attempted";
    case AuditAction::Rolled:
      return "rolled";
    case AuditAction::Reverted:
      return "reverted";
    case AuditAction::Withdrawn:
      return "withdrawn";
  }
  return "attempted";
}

std::string AuditRecord::Key() const
{
  switch (mAction) {
    case AuditAction::Rolled:
    case AuditAction::Reverted:
      return AcceptanceKey(mGeneration);
    case AuditAction::Withdrawn:
      return AuditKey(mGeneration, "withdrawn-" + mDetail.substr(0, mDetail.find(':')));
    case AuditAction::Proposed:
    case AuditAction::Approved:
    case AuditAction::Attempted:
      break;
  }
  return AuditKey(mGeneration, AuditActionName(mAction) + "-" + mProposal.Value() + "-" + mActor);
}

AuditRecord AuditOf(const Proposal& aProposal)
{
  return { aProposal.mBase,      AuditAction::Proposed, aProposal.mProposer.Value(),
           aProposal.mId,        aProposal.mBundle,     "",
           aProposal.mProposedAt };
}

AuditRecord AuditOf(const Approval& aApproval, const Proposal& aProposal)
{
  return { aProposal.mBase,      AuditAction::Approved, aApproval.mOperator.Value(),
           aProposal.mId,        aProposal.mBundle,     "",
           aApproval.mApprovedAt };
}

AuditRecord AuditOfAttempt(const BundleHead& aWanted)
{
  auto record = AuditOf(aWanted);
  record.mAction = AuditAction::Attempted;
  return record;
}

AuditRecord AuditOf(const BundleHead& aHead)
{
  const auto action =
    aHead.mKind == AcceptanceKind::Revert ? AuditAction::Reverted : AuditAction::Rolled;
  return { aHead.mGeneration, action,          aHead.mOperator.Value(), aHead.mProposal,
           aHead.mBundle,     DetailOf(aHead), aHead.mAcceptedAt };
}

AuditRecord AuditOfWithdrawal(const RollRecord& aRecord)
{
  AuditRecord record;
  record.mGeneration = aRecord.mAuditGeneration;
  record.mAction = AuditAction::Withdrawn;
  record.mActor = aRecord.mChangedBy.Value();
  record.mDetail = std::to_string(aRecord.mSince) + "-" + aRecord.mName.Value() + ": " +
                   aRecord.mTo.Value() + " at stage " + std::to_string(aRecord.mStage + 1) + ", " +
                   aRecord.mReason;
  record.mAt = aRecord.mChangedAt;
  return record;
}

std::string AcceptanceKey(Generation aGeneration)
{
  return AuditKey(aGeneration, kAccepted);
}

std::string WriteAuditRecord(const AuditRecord& aRecord)
{
  Json::Value value(Json::objectValue);
  value["generation"] = Json::UInt64(aRecord.mGeneration);
  value["action"] = AuditActionName(aRecord.mAction);
  value["actor"] = aRecord.mActor;
  value["proposal"] = aRecord.mProposal.Value();
  value["bundle"] = aRecord.mBundle.Value();
  value["detail"] = aRecord.mDetail;
  value["at"] = TimeToJson(aRecord.mAt);
  return WriteJson(value);
}

leaf::result<AuditRecord> ReadAuditRecord(const std::string& aJson)
{
  JsonObject object(aJson);
  AuditRecord record;
  record.mGeneration = object.Count("generation");
  record.mAction = ReadAction(object);
  record.mActor = object.Text("actor");
  record.mProposal = ProposalId(object.Text("proposal"));
  record.mBundle = BundleId(object.Text("bundle"));
  record.mDetail = object.Text("detail");
  record.mAt = object.Time("at");
  BOOST_LEAF_CHECK(object.Check("audit record"));
  return record;
}

} // namespace skylarkchute
