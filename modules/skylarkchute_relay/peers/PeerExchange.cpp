#include "PeerExchange.h"

namespace skylarkchute {

namespace {

Json::Value CountsToJson(const VersionCounts& aCounts)
{
  Json::Value value(Json::arrayValue);
  value.append(Json::UInt64(aCounts.mAnswers));
  value.append(Json::UInt64(aCounts.mFailures));
  value.append(Json::UInt64(aCounts.mSlow));
  return value;
}

VersionCounts CountsFromJson(const Json::Value& aValue)
{
  VersionCounts counts;
  if (aValue.isArray() && aValue.size() == 3 && aValue[0].isUInt64() && aValue[1].isUInt64() &&
      aValue[2].isUInt64()) {
    counts = { aValue[0].asUInt64(), aValue[1].asUInt64(), aValue[2].asUInt64() };
  }
  return counts;
}

Json::Value SnapshotToJson(const KindSnapshot& aSnapshot)
{
  Json::Value value(Json::objectValue);
  value["as_of"] = Json::UInt64(aSnapshot.mAsOf);
  value["objects"] = Json::Value(Json::arrayValue);
  for (const auto& it : aSnapshot.mObjects) {
    value["objects"].append(it.mText);
  }
  return value;
}

KindSnapshot SnapshotFromJson(const Json::Value& aValue)
{
  KindSnapshot snapshot;
  snapshot.mAsOf = JsonCountField(aValue, "as_of");
  for (const auto& it : JsonArrayField(aValue, "objects")) {
    if (auto object = it.isString() ? DecodeObject(it.asString()) : std::nullopt) {
      snapshot.mObjects.push_back(std::move(*object));
    }
  }
  return snapshot;
}

Json::Value EvidenceToJson(const RolloutEvidence& aEvidence)
{
  Json::Value value(Json::objectValue);
  value["service"] = aEvidence.mService.Value();
  value["target"] = aEvidence.mTarget;
  value["instance"] = aEvidence.mInstance.Value();
  value["older"] = CountsToJson(aEvidence.mOlder);
  value["newer"] = CountsToJson(aEvidence.mNewer);
  value["age_ms"] = Json::Int64(aEvidence.mAge.count());
  value["stopped"] = aEvidence.mIsStopped;
  for (const auto& it : aEvidence.mUses) {
    Json::Value use(Json::arrayValue);
    use.append(Json::UInt64(it.mSubject));
    use.append(it.mIsNewer);
    use.append(Json::Int64(it.mAge.count()));
    value["uses"].append(use);
  }
  return value;
}

std::vector<SubjectUse> UsesFromJson(const Json::Value& aValue)
{
  std::vector<SubjectUse> uses;
  for (const auto& it : JsonArrayField(aValue, "uses")) {
    if (it.isArray() && it.size() == 3 && it[0].isUInt64() && it[1].isBool() && it[2].isInt64()) {
      uses.push_back(
        { it[0].asUInt64(), it[1].asBool(), std::chrono::milliseconds(it[2].asInt64()) });
    }
  }
  return uses;
}

RolloutEvidence EvidenceFromJson(const Json::Value& aValue)
{
  return { ServiceName(JsonTextField(aValue, "service")),
           JsonTextField(aValue, "target"),
           IncarnationId(JsonTextField(aValue, "instance")),
           CountsFromJson(aValue["older"]),
           CountsFromJson(aValue["newer"]),
           std::chrono::milliseconds(JsonIntegerField(aValue, "age_ms")),
           JsonFlagField(aValue, "stopped"),
           UsesFromJson(aValue) };
}

} // namespace

std::string EncodeExchange(const PeerExchange& aExchange)
{
  Json::Value value(Json::objectValue);
  value["from"]["name"] = aExchange.mFrom.mName;
  value["from"]["incarnation"] = aExchange.mFrom.mIncarnation;
  value["from"]["address"] = aExchange.mFrom.mPeerAddress;
  value["from"]["zone"] = aExchange.mFrom.mZone;
  for (const auto& [kind, state] : aExchange.mKinds) {
    auto& pair = value["kinds"][std::string(KindName(kind))];
    pair.append(Json::UInt64(state.mAsOf));
    pair.append(Json::UInt64(state.mDigest));
  }
  for (const auto& [kind, snapshot] : aExchange.mSnapshots) {
    value["snapshots"][std::string(KindName(kind))] = SnapshotToJson(snapshot);
  }
  for (const auto& it : aExchange.mEvidence) {
    value["evidence"].append(EvidenceToJson(it));
  }
  for (const auto& it : aExchange.mCrashes) {
    Json::Value pair(Json::arrayValue);
    pair.append(Json::UInt64(it.mFingerprint));
    pair.append(it.mEndpoint);
    value["crashes"].append(pair);
  }
  return WriteJson(value);
}

std::optional<PeerExchange> DecodeExchange(const std::string& aText)
{
  const auto value = ReadJsonObject(aText);
  if (!value || !(*value)["from"].isObject()) {
    return std::nullopt;
  }
  PeerExchange exchange;
  const auto& from = (*value)["from"];
  exchange.mFrom = { JsonTextField(from, "name"),
                     JsonTextField(from, "incarnation"),
                     JsonTextField(from, "address"),
                     JsonTextField(from, "zone") };
  const auto& kinds = (*value)["kinds"];
  const auto& snapshots = (*value)["snapshots"];
  for (const auto it : kObjectKinds) {
    const std::string name(KindName(it));
    if (kinds.isObject() && kinds[name].isArray() && kinds[name].size() == 2 &&
        kinds[name][0].isUInt64() && kinds[name][1].isUInt64()) {
      exchange.mKinds[it] = { kinds[name][0].asUInt64(), kinds[name][1].asUInt64() };
    }
    if (snapshots.isObject() && snapshots[name].isObject()) {
      exchange.mSnapshots[it] = SnapshotFromJson(snapshots[name]);
    }
  }
  for (const auto& it : JsonArrayField(*value, "evidence")) {
    if (it.isObject()) {
      exchange.mEvidence.push_back(EvidenceFromJson(it));
    }
  }
  for (const auto& it : JsonArrayField(*value, "crashes")) {
    if (it.isArray() && it.size() == 2 && it[0].isUInt64() && it[1].isString()) {
      exchange.mCrashes.push_back({ it[0].asUInt64(), it[1].asString() });
    }
  }
  return exchange;
}

} // namespace skylarkchute
