#include "RollRecord.h"

#include "../json/JsonObject.h"

#include <array>

namespace skylarkchute {

namespace leaf = boost::leaf;

namespace {

constexpr std::array kPhases = { RollPhase::Running, RollPhase::Finished, RollPhase::Withdrawn };

RollPhase ReadPhase(JsonObject& aObject)
{
  const auto name = aObject.Text("phase");
  for (const auto it : kPhases) {
    if (RollPhaseName(it) == name) {
      return it;
    }
  }
  aObject.MarkInvalid("phase");
  return RollPhase::Running;
}

Json::Value EvidenceToJson(const EvidenceTotals& aTotals)
{
  Json::Value value(Json::objectValue);
  value["requests"] = Json::UInt64(aTotals.mRequests);
  value["errors"] = Json::UInt64(aTotals.mErrors);
  value["timeouts"] = Json::UInt64(aTotals.mTimeouts);
  value["rated"] = Json::UInt64(aTotals.mRated);
  value["rated-good"] = Json::UInt64(aTotals.mRatedGood);
  value["latency-sum-us"] = Json::UInt64(aTotals.mLatencySum.count());
  return value;
}

EvidenceTotals ReadEvidence(JsonObject& aObject)
{
  auto evidence = aObject.Object("evidence");
  EvidenceTotals totals;
  totals.mRequests = evidence.Count("requests");
  totals.mErrors = evidence.Count("errors");
  totals.mTimeouts = evidence.Count("timeouts");
  totals.mRated = evidence.Count("rated");
  totals.mRatedGood = evidence.Count("rated-good");
  totals.mLatencySum =
    std::chrono::microseconds(static_cast<std::int64_t>(evidence.Count("latency-sum-us")));
  if (!evidence.Check("evidence")) {
    aObject.MarkInvalid("evidence");
  }
  return totals;
}

} // namespace

bool RollRecord::IsLaterThan(const RollRecord& aOther) const
{
  if (mPhase != aOther.mPhase) {
    return mPhase > aOther.mPhase;
  }
  return mPhase == RollPhase::Running && mStage > aOther.mStage;
}

std::string RollPhaseName(RollPhase aPhase)
{
  switch (aPhase) {
    case RollPhase::Running:
      return "running";
    case RollPhase::Finished:
      return "finished";
    case RollPhase::Withdrawn:
      return "withdrawn";
  }
  return "withdrawn";
}

std::string WriteRollRecord(const RollRecord& aRecord)
{
  Json::Value value(Json::objectValue);
  value["name"] = aRecord.mName.Value();
  value["since"] = Json::UInt64(aRecord.mSince);
  value["from"] = aRecord.mFrom.Value();
  value["to"] = aRecord.mTo.Value();
  value["phase"] = RollPhaseName(aRecord.mPhase);
  value["stage"] = aRecord.mStage;
  value["stage-since"] = TimeToJson(aRecord.mStageSince);
  value["evidence"] = EvidenceToJson(aRecord.mEvidence);
  value["reason"] = aRecord.mReason;
  value["changed-by"] = aRecord.mChangedBy.Value();
  value["changed-at"] = TimeToJson(aRecord.mChangedAt);
  value["audit-generation"] = Json::UInt64(aRecord.mAuditGeneration);
  return WriteJson(value);
}

leaf::result<RollRecord> ReadRollRecord(const std::string& aJson)
{
  JsonObject object(aJson);
  RollRecord record;
  record.mName = RollName(object.Text("name"));
  record.mSince = object.Count("since");
  record.mFrom = VersionId(object.Text("from"));
  record.mTo = VersionId(object.Text("to"));
  record.mPhase = ReadPhase(object);
  record.mStage = static_cast<std::uint32_t>(object.Count("stage"));
  record.mStageSince = object.Time("stage-since");
  record.mEvidence = ReadEvidence(object);
  record.mReason = object.Text("reason");
  record.mChangedBy = InstanceId(object.Text("changed-by"));
  record.mChangedAt = object.Time("changed-at");
  record.mAuditGeneration = object.Count("audit-generation");
  if (auto checked = object.Check("roll record"); !checked) {
    return checked.error();
  }
  return record;
}

} // namespace skylarkchute
