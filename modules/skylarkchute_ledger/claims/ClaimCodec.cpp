#include "ClaimCodec.h"

#include <skylarkchute_bundles/json/JsonObject.h>

#include <array>

namespace skylarkchute {

namespace {

struct StateName
{
  ClaimState mState;
  const char* mName;
};

constexpr std::array<StateName, 4> kStateNames{ { { ClaimState::Unknown, "unknown" },
                                                  { ClaimState::Running, "running" },
                                                  { ClaimState::Finished, "finished" },
                                                  { ClaimState::Released, "released" } } };

std::string RegisterKey(const char* aKind,
                        const TeamName& aTeam,
                        const RequestKey& aKey,
                        std::uint32_t aGeneration)
{
  std::string key = aKind;
  if (aGeneration > 1) {
    key += "." + std::to_string(aGeneration);
  }
  return key + "/" + aTeam.Value() + "/" + aKey.Value();
}

std::string VerdictText(Verdict aVerdict)
{
  return std::string(VerdictName(aVerdict));
}

Verdict ParseVerdict(const std::string& aText)
{
  for (const auto it : { Verdict::NotRun, Verdict::Ran }) {
    if (aText == VerdictName(it)) {
      return it;
    }
  }
  return Verdict::MayHaveRun;
}

Json::Value OutcomeJson(const ClaimOutcome& aOutcome)
{
  Json::Value json;
  json["status"] = Json::UInt(static_cast<unsigned>(aOutcome.mHttpStatus));
  json["verdict"] = VerdictText(aOutcome.mVerdict);
  json["type"] = aOutcome.mContentType;
  json["body"] = aOutcome.mBody;
  json["dropped"] = aOutcome.mBodyDropped;
  return json;
}

ClaimOutcome OutcomeFromJson(JsonObject& aJson)
{
  ClaimOutcome outcome;
  outcome.mHttpStatus = static_cast<int>(aJson.Count("status"));
  outcome.mVerdict = ParseVerdict(aJson.Text("verdict"));
  outcome.mContentType = aJson.Text("type");
  outcome.mBody = aJson.Text("body");
  outcome.mBodyDropped = aJson.Flag("dropped");
  return outcome;
}

} // namespace

std::string ClaimKey(const TeamName& aTeam, const RequestKey& aKey, std::uint32_t aGeneration)
{
  return RegisterKey("claim", aTeam, aKey, aGeneration);
}

std::string OutcomeKey(const TeamName& aTeam, const RequestKey& aKey, std::uint32_t aGeneration)
{
  return RegisterKey("outcome", aTeam, aKey, aGeneration);
}

std::string EncodeClaimRecord(const ClaimRecord& aRecord)
{
  Json::Value json;
  json["holder"] = aRecord.mHolder.Value();
  json["request"] = aRecord.mClaimant.Value();
  json["print"] = aRecord.mFingerprint.Value();
  json["expires"] = TimeToJson(aRecord.mExpires);
  return WriteJson(json);
}

std::optional<ClaimRecord> DecodeClaimRecord(const std::string& aText)
{
  JsonObject json(aText);
  ClaimRecord record;
  record.mHolder = IncarnationId(json.Text("holder"));
  record.mClaimant = RequestId(json.Text("request"));
  record.mFingerprint = Fingerprint(json.Text("print"));
  record.mExpires = json.Time("expires");
  if (!json.IsValid()) {
    return std::nullopt;
  }
  return record;
}

std::string EncodeOutcomeRecord(const OutcomeRecord& aRecord)
{
  auto json = OutcomeJson(aRecord.mOutcome);
  json["released"] = aRecord.mReleased;
  return WriteJson(json);
}

std::optional<OutcomeRecord> DecodeOutcomeRecord(const std::string& aText)
{
  JsonObject json(aText);
  const OutcomeRecord record{ json.Flag("released"), OutcomeFromJson(json) };
  if (!json.IsValid()) {
    return std::nullopt;
  }
  return record;
}

std::string EncodeClaimStatusQuery(const ClaimStatusQuery& aQuestion)
{
  Json::Value json;
  json["holder"] = aQuestion.mHolder.Value();
  json["request"] = aQuestion.mClaimant.Value();
  return WriteJson(json);
}

std::optional<ClaimStatusQuery> DecodeClaimStatusQuery(const std::string& aText)
{
  JsonObject json(aText);
  const ClaimStatusQuery query{ 0,
                                IncarnationId(json.Text("holder")),
                                RequestId(json.Text("request")) };
  if (!json.IsValid()) {
    return std::nullopt;
  }
  return query;
}

std::string EncodeClaimStatusReply(const ClaimStatusReply& aReport)
{
  auto json = aReport.mOutcome ? OutcomeJson(*aReport.mOutcome) : Json::Value();
  for (const auto& it : kStateNames) {
    if (it.mState == aReport.mState) {
      json["state"] = it.mName;
    }
  }
  return WriteJson(json);
}

std::optional<ClaimStatusReply> DecodeClaimStatusReply(const std::string& aText)
{
  JsonObject json(aText);
  ClaimStatusReply report;
  const auto name = json.Text("state");
  for (const auto& it : kStateNames) {
    if (name == it.mName) {
      report.mState = it.mState;
    }
  }
  if (report.mState == ClaimState::Finished) {
    report.mOutcome = OutcomeFromJson(json);
  }
  if (!json.IsValid()) {
    return std::nullopt;
  }
  return report;
}

} // namespace skylarkchute
