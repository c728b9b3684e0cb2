#include "Proposal.h"

#include "../json/PartReferencesJson.h"

namespace skylarkchute {

namespace leaf = boost::leaf;

namespace {

/** Operators type proposal identifiers, so they are short. Proposal objects are never overwritten,
    so a second proposal with a colliding identifier would be refused. */
constexpr std::size_t kProposalIdDigits = 16;

} // namespace

ProposalId ComputeProposalId(const BundleId& aBundle,
                             Generation aBase,
                             const OperatorName& aProposer)
{
  const auto text =
    aBundle.Value() + "\n" + std::to_string(aBase) + "\n" + aProposer.Value() + "\n";
  return ProposalId(Sha256Hex(text).substr(0, kProposalIdDigits));
}

std::string WriteProposal(const Proposal& aProposal)
{
  Json::Value value(Json::objectValue);
  value["id"] = aProposal.mId.Value();
  value["bundle"] = aProposal.mBundle.Value();
  value["base"] = Json::UInt64(aProposal.mBase);
  value["proposer"] = aProposal.mProposer.Value();
  value["proposed-at"] = TimeToJson(aProposal.mProposedAt);
  value["parts"] = PartsToJson(aProposal.mParts);
  return WriteJson(value);
}

std::string WriteApproval(const Approval& aApproval)
{
  Json::Value value(Json::objectValue);
  value["proposal"] = aApproval.mProposal.Value();
  value["operator"] = aApproval.mOperator.Value();
  value["approved-at"] = TimeToJson(aApproval.mApprovedAt);
  return WriteJson(value);
}

leaf::result<Proposal> ReadProposal(const std::string& aJson)
{
  JsonObject object(aJson);
  Proposal proposal;
  proposal.mId = ProposalId(object.Text("id"));
  proposal.mBundle = BundleId(object.Text("bundle"));
  proposal.mBase = object.Count("base");
  proposal.mProposer = OperatorName(object.Text("proposer"));
  proposal.mProposedAt = object.Time("proposed-at");
  proposal.mParts = ReadPartReferences(object);
  if (proposal.mBundle != ComputeBundleId(proposal.mParts)) {
    object.MarkInvalid("bundle");
  }
  if (proposal.mId != ComputeProposalId(proposal.mBundle, proposal.mBase, proposal.mProposer)) {
    object.MarkInvalid("id");
  }
  if (auto checked = object.Check("proposal"); !checked) {
    return checked.error();
  }
  return proposal;
}

leaf::result<Approval> ReadApproval(const std::string& aJson)
{
  JsonObject object(aJson);
  Approval approval;
  approval.mProposal = ProposalId(object.Text("proposal"));
  approval.mOperator = OperatorName(object.Text("operator"));
  approval.mApprovedAt = object.Time("approved-at");
  if (auto checked = object.Check("approval"); !checked) {
    return checked.error();
  }
  return approval;
}

} // namespace skylarkchute
