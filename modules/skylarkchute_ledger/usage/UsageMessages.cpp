#include "UsageMessages.h"

#include <skylarkchute_bundles/json/JsonObject.h>

namespace skylarkchute {

namespace {

Json::Value RecordJson(const UsageRecord& aRecord)
{
  Json::Value json;
  json["team"] = aRecord.mTeam.Value();
  json["key"] = aRecord.mKey.Value();
  json["request"] = aRecord.mRequest.Value();
  json["model"] = aRecord.mModel;
  json["prompt"] = Json::UInt64(aRecord.mPromptTokens);
  json["completion"] = Json::UInt64(aRecord.mCompletionTokens);
  json["price"] = aRecord.mPrice;
  json["ran"] = aRecord.mVerdict == Verdict::Ran;
  json["at"] = TimeToJson(aRecord.mAt);
  return json;
}

std::optional<UsageRecord> RecordFromJson(const Json::Value& aJson)
{
  JsonObject json(aJson);
  UsageRecord record;
  record.mTeam = TeamName(json.Text("team"));
  record.mKey = RequestKey(json.Text("key"));
  record.mRequest = RequestId(json.Text("request"));
  record.mModel = json.Text("model");
  record.mPromptTokens = static_cast<std::uint32_t>(json.Count("prompt"));
  record.mCompletionTokens = static_cast<std::uint32_t>(json.Count("completion"));
  record.mPrice = json.Number("price");
  record.mVerdict = json.Flag("ran") ? Verdict::Ran : Verdict::MayHaveRun;
  record.mAt = json.Time("at");
  if (!json.IsValid()) {
    return std::nullopt;
  }
  return record;
}

} // namespace

std::string UsageBatchKey(const IncarnationId& aOwner, std::uint64_t aSequence)
{
  return "usage/" + aOwner.Value() + "/" + std::to_string(aSequence);
}

std::string EncodeUsageBatch(const UsageBatch& aBatch)
{
  Json::Value json;
  json["owner"] = aBatch.mOwner.Value();
  json["sequence"] = Json::UInt64(aBatch.mSequence);
  json["records"] = Json::Value(Json::arrayValue);
  for (const auto& it : aBatch.mRecords) {
    json["records"].append(RecordJson(it));
  }
  return WriteJson(json);
}

std::optional<UsageBatch> DecodeUsageBatch(const std::string& aText)
{
  JsonObject json(aText);
  UsageBatch batch;
  batch.mOwner = IncarnationId(json.Text("owner"));
  batch.mSequence = json.Count("sequence");
  for (const auto& it : json.Array("records")) {
    const auto record = RecordFromJson(it);
    if (!record) {
      return std::nullopt;
    }
    batch.mRecords.push_back(*record);
  }
  if (!json.IsValid()) {
    return std::nullopt;
  }
  return batch;
}

std::string EncodeUsageDrop(const UsageDrop& aDrop)
{
  Json::Value json;
  json["owner"] = aDrop.mOwner.Value();
  json["sequence"] = Json::UInt64(aDrop.mSequence);
  return WriteJson(json);
}

std::optional<UsageDrop> DecodeUsageDrop(const std::string& aText)
{
  JsonObject json(aText);
  const UsageDrop drop{ IncarnationId(json.Text("owner")), json.Count("sequence") };
  if (!json.IsValid()) {
    return std::nullopt;
  }
  return drop;
}

} // namespace skylarkchute
