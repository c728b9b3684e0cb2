#include "PeerExchange.h"

#include "LoadExchange.h"

#include <algorithm>

namespace skylarkchute {

namespace {

/** Longer ages are cut to this. */
constexpr std::int64_t kMaxAgeMs = 24LL * 3600 * 1000;

std::chrono::milliseconds AgeFrom(std::int64_t aMilliseconds)
{
  return std::chrono::milliseconds(std::clamp<std::int64_t>(aMilliseconds, 0, kMaxAgeMs));
}

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

Json::Value ChangesToJson(const PackedChanges& aChanges)
{
  Json::Value value(Json::objectValue);
  value["since"] = Json::UInt64(aChanges.mSince);
  value["as_of"] = Json::UInt64(aChanges.mAsOf);
  value["snapshot"] = aChanges.mIsSnapshot;
  value["deflated"] = aChanges.mIsDeflated;
  value["objects"] = aChanges.mText;
  return value;
}

std::shared_ptr<const PackedChanges> ChangesFromJson(const Json::Value& aValue)
{
  return std::make_shared<const PackedChanges>(PackedChanges{ JsonCountField(aValue, "since"),
                                                              JsonCountField(aValue, "as_of"),
                                                              JsonFlagField(aValue, "snapshot"),
                                                              JsonFlagField(aValue, "deflated"),
                                                              JsonTextField(aValue, "objects") });
}

Json::Value MemberToJson(const MemberUpdate& aMember)
{
  Json::Value value(Json::arrayValue);
  value.append(aMember.mRecord.mName);
  value.append(aMember.mRecord.mIncarnation);
  value.append(aMember.mRecord.mAddress);
  value.append(aMember.mRecord.mZone);
  value.append(Json::UInt64(aMember.mVersion));
  value.append(static_cast<unsigned>(aMember.mState));
  value.append(static_cast<unsigned>(aMember.mRole));
  return value;
}

std::optional<MemberUpdate> MemberFromJson(const Json::Value& aValue)
{
  constexpr unsigned kTexts = 4;
  constexpr unsigned kFields = 7;
  if (!aValue.isArray() || aValue.size() != kFields || !aValue[4].isUInt64() ||
      !aValue[5].isUInt() || aValue[5].asUInt() > static_cast<unsigned>(MemberState::Dead) ||
      !aValue[6].isUInt() || aValue[6].asUInt() > static_cast<unsigned>(StoreRole::Fails)) {
    return std::nullopt;
  }
  for (unsigned n = 0; n < kTexts; ++n) {
    if (!aValue[n].isString()) {
      return std::nullopt;
    }
  }
  return MemberUpdate{
    { aValue[0].asString(), aValue[1].asString(), aValue[2].asString(), aValue[3].asString() },
    aValue[4].asUInt64(),
    static_cast<MemberState>(aValue[5].asUInt()),
    static_cast<StoreRole>(aValue[6].asUInt())
  };
}

Json::Value ClassCountsToJson(const ClassCounts& aClasses)
{
  Json::Value value(Json::arrayValue);
  for (const auto& [routeClass, counts] : aClasses) {
    Json::Value entry(Json::arrayValue);
    entry.append(static_cast<std::uint32_t>(routeClass));
    entry.append(CountsToJson(counts.mOlder));
    entry.append(CountsToJson(counts.mNewer));
    value.append(entry);
  }
  return value;
}

ClassCounts ClassCountsFromJson(const Json::Value& aValue)
{
  ClassCounts classes;
  for (const auto& it : JsonArrayField(aValue, "classes")) {
    if (it.isArray() && it.size() == 3 && it[0].isUInt() && classes.size() < kMaxComparedClasses) {
      classes[RouteClass{ it[0].asUInt() }] = { CountsFromJson(it[1]), CountsFromJson(it[2]) };
    }
  }
  return classes;
}

/** A message without the field means that no answer belongs to a load trial. */
Json::Value TrialCountsToJson(const TrialCounts& aTrial)
{
  Json::Value value(Json::arrayValue);
  const auto append = [&](const ComparedCounts& aCounts) {
    value.append(CountsToJson(aCounts.mOlder));
    value.append(CountsToJson(aCounts.mNewer));
  };
  for (const auto& it : aTrial.mLevels) {
    append(it);
  }
  return value;
}

TrialCounts TrialCountsFromJson(const Json::Value& aValue)
{
  const auto& value = JsonArrayField(aValue, "load_trial");
  TrialCounts trial;
  if (value.size() != 2 * trial.mLevels.size()) {
    return trial;
  }
  Json::ArrayIndex n = 0;
  const auto next = [&] {
    const auto older = CountsFromJson(value[n++]);
    return ComparedCounts{ older, CountsFromJson(value[n++]) };
  };
  for (auto& it : trial.mLevels) {
    it = next();
  }
  return trial;
}

Json::Value EvidenceToJson(const RolloutEvidence& aEvidence)
{
  Json::Value value(Json::objectValue);
  value["service"] = aEvidence.mService.Value();
  value["target"] = aEvidence.mTarget;
  value["instance"] = aEvidence.mInstance.Value();
  value["older"] = CountsToJson(aEvidence.mSum.mOlder);
  value["newer"] = CountsToJson(aEvidence.mSum.mNewer);
  value["classes"] = ClassCountsToJson(aEvidence.mClasses);
  if (aEvidence.mTrial != TrialCounts{}) {
    value["load_trial"] = TrialCountsToJson(aEvidence.mTrial);
  }
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

Json::Value DepartureToJson(const EndpointDeparture& aDeparture)
{
  Json::Value value(Json::arrayValue);
  value.append(aDeparture.mId.Value());
  value.append(Json::UInt64(aDeparture.mIncarnationStart));
  value.append(aDeparture.mIsAnnounced);
  value.append(Json::UInt64(aDeparture.mEra));
  value.append(Json::UInt64(aDeparture.mRevision));
  value.append(Json::Int64(aDeparture.mAge.count()));
  return value;
}

std::optional<EndpointDeparture> DepartureFromJson(const Json::Value& aValue)
{
  constexpr unsigned kFields = 6;
  if (!aValue.isArray() || aValue.size() != kFields || !aValue[0].isString() ||
      !aValue[1].isUInt64() || !aValue[2].isBool() || !aValue[3].isUInt64() ||
      !aValue[4].isUInt64() || !aValue[5].isInt64()) {
    return std::nullopt;
  }
  return EndpointDeparture{ EndpointId(aValue[0].asString()),
                            aValue[1].asUInt64(),
                            aValue[2].asBool(),
                            aValue[3].asUInt64(),
                            aValue[4].asUInt64(),
                            AgeFrom(aValue[5].asInt64()) };
}

std::vector<SubjectUse> UsesFromJson(const Json::Value& aValue)
{
  std::vector<SubjectUse> uses;
  for (const auto& it : JsonArrayField(aValue, "uses")) {
    if (it.isArray() && it.size() == 3 && it[0].isUInt64() && it[1].isBool() && it[2].isInt64()) {
      uses.push_back({ it[0].asUInt64(), it[1].asBool(), AgeFrom(it[2].asInt64()) });
    }
  }
  return uses;
}

RolloutEvidence EvidenceFromJson(const Json::Value& aValue)
{
  return { ServiceName(JsonTextField(aValue, "service")),
           JsonTextField(aValue, "target"),
           IncarnationId(JsonTextField(aValue, "instance")),
           { CountsFromJson(aValue["older"]), CountsFromJson(aValue["newer"]) },
           ClassCountsFromJson(aValue),
           TrialCountsFromJson(aValue),
           AgeFrom(JsonIntegerField(aValue, "age_ms")),
           JsonFlagField(aValue, "stopped"),
           UsesFromJson(aValue) };
}

void AppendPartReport(Json::Value& aValue, const PromptPartSuspects::Report& aReport)
{
  for (const auto& it : aReport.mCrashes) {
    Json::Value crash(Json::arrayValue);
    crash.append(Json::UInt64(it.mPart));
    crash.append(it.mEndpoint);
    crash.append(Json::Int64(it.mAge.count()));
    aValue["part_crashes"].append(crash);
  }
  for (const auto& it : aReport.mProofs) {
    Json::Value proof(Json::arrayValue);
    proof.append(Json::UInt64(it.mPart));
    proof.append(Json::Int64(it.mAge.count()));
    aValue["part_proofs"].append(proof);
  }
}

PromptPartSuspects::Report PartReportFromJson(const Json::Value& aValue)
{
  PromptPartSuspects::Report report;
  for (const auto& it : JsonArrayField(aValue, "part_crashes")) {
    if (it.isArray() && it.size() == 3 && it[0].isUInt64() && it[1].isString() && it[2].isInt64()) {
      report.mCrashes.push_back({ it[0].asUInt64(), it[1].asString(), AgeFrom(it[2].asInt64()) });
    }
  }
  for (const auto& it : JsonArrayField(aValue, "part_proofs")) {
    if (it.isArray() && it.size() == 2 && it[0].isUInt64() && it[1].isInt64()) {
      report.mProofs.push_back({ it[0].asUInt64(), AgeFrom(it[1].asInt64()) });
    }
  }
  return report;
}

} // namespace

std::string EncodeExchange(const PeerExchange& aExchange)
{
  Json::Value value(Json::objectValue);
  const auto& membership = aExchange.mMembership;
  value["from"] = MemberToJson(membership.mFrom);
  value["digest"] = Json::UInt64(membership.mDigest);
  if (membership.mWantsAll) {
    value["wants_all"] = true;
  }
  for (const auto& it : membership.mUpdates) {
    value["members"].append(MemberToJson(it));
  }
  if (aExchange.mConfirmationAge) {
    value["confirmed_ms"] = Json::Int64(aExchange.mConfirmationAge->count());
  }
  if (!aExchange.mProbe.empty()) {
    value["probe"] = aExchange.mProbe;
  }
  for (const auto& it : aExchange.mReached) {
    value["reached"].append(it);
  }
  for (const auto& [kind, state] : aExchange.mKinds) {
    auto& pair = value["kinds"][std::string(KindName(kind))];
    pair.append(Json::UInt64(state.mAsOf));
    pair.append(Json::UInt64(state.mDigest));
  }
  for (const auto& [kind, state] : aExchange.mKinds) {
    if (state.mInForce != 0) {
      value["in_force"][std::string(KindName(kind))] = Json::UInt64(state.mInForce);
    }
  }
  if (!aExchange.mForwardAddress.empty()) {
    value["forwarded"] = aExchange.mForwardAddress;
  }
  if (aExchange.mIsPartitioned) {
    value["partitioned"] = true;
  }
  for (const auto& it : aExchange.mDepartures) {
    value["departures"].append(DepartureToJson(it));
  }
  if (aExchange.mConfigInForce) {
    value["config"] = ChangesToJson(*aExchange.mConfigInForce);
  }
  for (const auto& [kind, changes] : aExchange.mChanges) {
    value["changes"][std::string(KindName(kind))] = ChangesToJson(*changes);
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
  AppendPartReport(value, aExchange.mPartReport);
  if (!aExchange.mLoads.empty()) {
    value["loads"] = EncodeLoads(aExchange.mLoads);
  }
  return WriteJson(value);
}

std::optional<PeerExchange> DecodeExchange(const std::string& aText)
{
  const auto value = ReadJsonObject(aText);
  const auto from = value ? MemberFromJson((*value)["from"]) : std::nullopt;
  if (!from) {
    return std::nullopt;
  }
  PeerExchange exchange;
  exchange.mMembership = {
    *from, {}, JsonCountField(*value, "digest"), JsonFlagField(*value, "wants_all")
  };
  for (const auto& it : JsonArrayField(*value, "members")) {
    if (const auto member = MemberFromJson(it)) {
      exchange.mMembership.mUpdates.push_back(*member);
    }
  }
  if ((*value)["confirmed_ms"].isInt64()) {
    exchange.mConfirmationAge = AgeFrom((*value)["confirmed_ms"].asInt64());
  }
  exchange.mProbe = JsonTextField(*value, "probe");
  for (const auto& it : JsonArrayField(*value, "reached")) {
    if (it.isString()) {
      exchange.mReached.push_back(it.asString());
    }
  }
  const auto& kinds = (*value)["kinds"];
  const auto& changes = (*value)["changes"];
  for (const auto it : kObjectKinds) {
    const std::string name(KindName(it));
    if (kinds.isObject() && kinds[name].isArray() && kinds[name].size() == 2 &&
        kinds[name][0].isUInt64() && kinds[name][1].isUInt64()) {
      exchange.mKinds[it] = { kinds[name][0].asUInt64(), kinds[name][1].asUInt64() };
    }
    if (changes.isObject() && changes[name].isObject()) {
      exchange.mChanges[it] = ChangesFromJson(changes[name]);
    }
  }
  for (auto& [kind, state] : exchange.mKinds) {
    state.mInForce = JsonCountField((*value)["in_force"], std::string(KindName(kind)).c_str());
  }
  exchange.mForwardAddress = JsonTextField(*value, "forwarded");
  exchange.mIsPartitioned = JsonFlagField(*value, "partitioned");
  for (const auto& it : JsonArrayField(*value, "departures")) {
    if (const auto departure = DepartureFromJson(it)) {
      exchange.mDepartures.push_back(*departure);
    }
  }
  if ((*value)["config"].isObject()) {
    exchange.mConfigInForce = ChangesFromJson((*value)["config"]);
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
  exchange.mPartReport = PartReportFromJson(*value);
  exchange.mLoads = DecodeLoads(JsonTextField(*value, "loads"));
  return exchange;
}

} // namespace skylarkchute
