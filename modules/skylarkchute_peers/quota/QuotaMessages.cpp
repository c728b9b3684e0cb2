#include "QuotaMessages.h"

#include <skylarkchute_bundles/json/JsonObject.h>

#include <cmath>

namespace skylarkchute {

namespace {

/** Numbers on the wire keep this many parts of one, rounded down: a fraction never grows. */
constexpr double kParts = 1e6;

Json::Int64 ToParts(double aValue)
{
  return static_cast<Json::Int64>(std::floor(aValue * kParts));
}

double FromParts(JsonObject& aJson, const char* aMember)
{
  return static_cast<double>(aJson.Count(aMember)) / kParts;
}

} // namespace

std::string EncodeQuotaReport(const QuotaReport& aMessage)
{
  Json::Value json;
  json["from"] = aMessage.mFrom.Value();
  json["rows"] = Json::Value(Json::arrayValue);
  for (const auto& it : aMessage.mRows) {
    Json::Value row;
    row["t"] = it.mDemand.mTeam.Value();
    row["r"] = ToParts(it.mDemand.mRequestsPerSecond);
    row["k"] = ToParts(it.mDemand.mTokensPerSecond);
    // Held fractions are rounded up, so that the collector never assumes too little.
    row["hr"] = ToParts(it.mHeld.mRequests) + 1;
    row["hk"] = ToParts(it.mHeld.mTokens) + 1;
    row["s"] = it.mStale;
    json["rows"].append(row);
  }
  return WriteJson(json);
}

std::optional<QuotaReport> DecodeQuotaReport(const std::string& aText)
{
  JsonObject json(aText);
  QuotaReport message;
  message.mFrom = InstanceId(json.Text("from"));
  for (const auto& it : json.Array("rows")) {
    JsonObject row(it);
    QuotaReportRow out;
    out.mDemand.mTeam = TeamName(row.Text("t"));
    out.mDemand.mRequestsPerSecond = FromParts(row, "r");
    out.mDemand.mTokensPerSecond = FromParts(row, "k");
    out.mHeld = { FromParts(row, "hr"), FromParts(row, "hk") };
    out.mStale = row.Flag("s");
    if (!row.IsValid()) {
      return std::nullopt;
    }
    message.mRows.push_back(out);
  }
  if (!json.IsValid()) {
    return std::nullopt;
  }
  return message;
}

std::string EncodeQuotaGrants(const QuotaGrants& aMessage)
{
  Json::Value json;
  json["rows"] = Json::Value(Json::arrayValue);
  for (const auto& it : aMessage.mRows) {
    Json::Value row;
    row["t"] = it.mTeam.Value();
    row["r"] = ToParts(it.mFractions.mRequests);
    row["k"] = ToParts(it.mFractions.mTokens);
    json["rows"].append(row);
  }
  return WriteJson(json);
}

std::optional<QuotaGrants> DecodeQuotaGrants(const std::string& aText)
{
  JsonObject json(aText);
  QuotaGrants message;
  for (const auto& it : json.Array("rows")) {
    JsonObject row(it);
    const QuotaGrantRow out{ TeamName(row.Text("t")),
                             { FromParts(row, "r"), FromParts(row, "k") } };
    if (!row.IsValid()) {
      return std::nullopt;
    }
    message.mRows.push_back(out);
  }
  if (!json.IsValid()) {
    return std::nullopt;
  }
  return message;
}

} // namespace skylarkchute
