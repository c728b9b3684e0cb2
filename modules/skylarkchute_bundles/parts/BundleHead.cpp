#include "BundleHead.h"

#include "../json/PartReferencesJson.h"

#include <algorithm>

namespace skylarkchute {

namespace leaf = boost::leaf;

namespace {

constexpr const char* kRollKind = "roll";
constexpr const char* kRevertKind = "revert";

std::vector<RollOrigin> ReadRolls(JsonObject& aObject)
{
  std::vector<RollOrigin> rolls;
  for (const auto& it : aObject.Array("rolls")) {
    JsonObject entry(it);
    rolls.push_back({ RollName(entry.Text("name")), entry.Count("since") });
    if (!entry.Check("roll")) {
      aObject.MarkInvalid("rolls");
    }
  }
  return rolls;
}

std::vector<OperatorName> ReadApprovers(JsonObject& aObject)
{
  std::vector<OperatorName> approvers;
  for (const auto& it : aObject.Array("approvers")) {
    if (!it.isString()) {
      aObject.MarkInvalid("approvers");
      continue;
    }
    approvers.emplace_back(it.asString());
  }
  return approvers;
}

AcceptanceKind ReadKind(JsonObject& aObject)
{
  const auto kind = aObject.Text("kind");
  if (kind != kRollKind && kind != kRevertKind) {
    aObject.MarkInvalid("kind");
  }
  return kind == kRevertKind ? AcceptanceKind::Revert : AcceptanceKind::Roll;
}

} // namespace

Generation BundleHead::UnchangedSince(const RollName& aRoll) const
{
  const auto it = std::find_if(mRolls.begin(), mRolls.end(), [&](const RollOrigin& aOrigin) {
    return aOrigin.mName == aRoll;
  });
  return it == mRolls.end() ? 0 : it->mSince;
}

std::string WriteHead(const BundleHead& aHead)
{
  Json::Value value(Json::objectValue);
  value["generation"] = Json::UInt64(aHead.mGeneration);
  value["bundle"] = aHead.mBundle.Value();
  value["parts"] = PartsToJson(aHead.mParts);
  value["rolls"] = Json::Value(Json::arrayValue);
  for (const auto& it : aHead.mRolls) {
    Json::Value roll(Json::objectValue);
    roll["name"] = it.mName.Value();
    roll["since"] = Json::UInt64(it.mSince);
    value["rolls"].append(std::move(roll));
  }
  value["kind"] = aHead.mKind == AcceptanceKind::Roll ? kRollKind : kRevertKind;
  value["proposal"] = aHead.mProposal.Value();
  value["operator"] = aHead.mOperator.Value();
  value["approvers"] = Json::Value(Json::arrayValue);
  for (const auto& it : aHead.mApprovers) {
    value["approvers"].append(it.Value());
  }
  value["reverted-to"] = Json::UInt64(aHead.mRevertedTo);
  value["accepted-at"] = TimeToJson(aHead.mAcceptedAt);
  return WriteJson(value);
}

leaf::result<BundleHead> ReadHead(const std::string& aJson)
{
  JsonObject object(aJson);
  BundleHead head;
  head.mGeneration = object.Count("generation");
  head.mBundle = BundleId(object.Text("bundle"));
  head.mParts = ReadPartReferences(object);
  head.mRolls = ReadRolls(object);
  head.mKind = ReadKind(object);
  head.mProposal = ProposalId(object.Text("proposal"));
  head.mOperator = OperatorName(object.Text("operator"));
  head.mApprovers = ReadApprovers(object);
  head.mRevertedTo = object.Count("reverted-to");
  head.mAcceptedAt = object.Time("accepted-at");
  if (head.mGeneration == 0) {
    object.MarkInvalid("generation");
  }
  if (head.mBundle != ComputeBundleId(head.mParts)) {
    object.MarkInvalid("bundle");
  }
  if (auto checked = object.Check("bundle head"); !checked) {
    return checked.error();
  }
  return head;
}

} // namespace skylarkchute
