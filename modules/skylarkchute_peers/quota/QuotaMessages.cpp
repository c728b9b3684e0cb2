#include "QuotaMessages.h"

#include <skylarkchute_bundles/json/JsonObject.h>

#include <cmath>

namespace skylarkchute {

namespace {

/** Numbers are sent as fixed-point integers in millionths, rounded down so that a fraction never
    grows in transit. */
constexpr double kWireScale = 1e6;

Json::Int64 ToFixedPoint(double aValue)
{
  return static_cast<Json::Int64>(std::floor(aValue * kWireScale));
}

double FromFixedPoint(JsonObject& aJson, const char* aMember)
{
  return static_cast<double>(aJson.Count(aMember)) / kWireScale;
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
    row["r"] = ToFixedPoint(it.mDemand.mRequestsPerSecond);
    row["k"] = ToFixedPoint(it.mDemand.mTokensPerSecond);
    // Held fractions are rounded up, so that the collector never underestimates them.
    row["hr"] = ToFixedPoint(it.mHeld.mRequests) + 1;
    row["hk"] = ToFixedPoint(it.mHeld.mTokens) + 1;
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
    out.mDemand.mRequestsPerSecond = FromFixedPoint(row, "r");
    out.mDemand.mTokensPerSecond = FromFixedPoint(row, "k");
    out.mHeld = { FromFixedPoint(row, "hr"), FromFixedPoint(row, "hk") };
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
    row["r"] = ToFixedPoint(it.mFractions.mRequests);
    row["k"] = ToFixedPoint(it.mFractions.mTokens);
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
                             { FromFixedPoint(row, "r"), FromFixedPoint(row, "k") } };
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
