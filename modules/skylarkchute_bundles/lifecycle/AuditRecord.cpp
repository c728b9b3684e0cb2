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

constexpr const char* kAcceptanceAction = "accepted";

AuditAction ReadAction(JsonObject& aObject)
{
  const auto name = aObject.Text("action");
  for (const auto it : kActions) {
    if (AuditActionName(it) == name) {
      return it;
    }
  }
  aObject.MarkInvalid("action");
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

std::string AcceptanceDetail(const BundleHead& aHead)
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
      return AcceptanceAuditKey(mGeneration);
    case AuditAction::Withdrawn:
      return AuditKey(mGeneration, "withdrawn-" + mDetail.substr(0, mDetail.find(':')));
    case AuditAction::Proposed:
    case AuditAction::Approved:
    case AuditAction::Attempted:
      break;
  }
  return AuditKey(mGeneration, AuditActionName(mAction) + "-" + mProposal.Value() + "-" + mActor);
}

AuditRecord MakeAuditRecord(const Proposal& aProposal)
{
  return { aProposal.mBase,      AuditAction::Proposed, aProposal.mProposer.Value(),
           aProposal.mId,        aProposal.mBundle,     "",
           aProposal.mProposedAt };
}

AuditRecord MakeAuditRecord(const Approval& aApproval, const Proposal& aProposal)
{
  return { aProposal.mBase,      AuditAction::Approved, aApproval.mOperator.Value(),
           aProposal.mId,        aProposal.mBundle,     "",
           aApproval.mApprovedAt };
}

AuditRecord MakeAttemptRecord(const BundleHead& aWanted)
{
  auto record = MakeAuditRecord(aWanted);
  record.mAction = AuditAction::Attempted;
  return record;
}

AuditRecord MakeAuditRecord(const BundleHead& aHead)
{
  const auto action =
    aHead.mKind == AcceptanceKind::Revert ? AuditAction::Reverted : AuditAction::Rolled;
  return { aHead.mGeneration, action,        aHead.mOperator.Value(),
           aHead.mProposal,   aHead.mBundle, AcceptanceDetail(aHead),
           aHead.mAcceptedAt };
}

AuditRecord MakeWithdrawalRecord(const RollRecord& aRecord)
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

std::string AcceptanceAuditKey(Generation aGeneration)
{
  return AuditKey(aGeneration, kAcceptanceAction);
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
  if (auto checked = object.Check("audit record"); !checked) {
    return checked.error();
  }
  return record;
}

} // namespace skylarkchute
