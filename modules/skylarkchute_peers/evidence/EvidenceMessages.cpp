#include "EvidenceMessages.h"

#include <skylarkchute_bundles/json/JsonObject.h>

#include <algorithm>
#include <array>

namespace skylarkchute {

namespace {

using Counter = std::uint64_t EvidenceCounts::*;

constexpr std::array<Counter, 6> kCounters{ { &EvidenceCounts::mRequests,
                                              &EvidenceCounts::mErrors,
                                              &EvidenceCounts::mTimeouts,
                                              &EvidenceCounts::mRated,
                                              &EvidenceCounts::mRatedGood,
                                              &EvidenceCounts::mLatencySumMs } };
/** Members of a row before its counters: window, version, class, team. */
constexpr Json::ArrayIndex kKeyMembers = 4;

Json::Value RowsToJson(const EvidenceTable& aRows)
{
  Json::Value rows(Json::arrayValue);
  for (const auto& [key, counts] : aRows) {
    Json::Value row(Json::arrayValue);
    row.append(Json::UInt64(key.mWindow));
    row.append(key.mVersion.Value());
    row.append(key.mClass.Value());
    row.append(key.mTeam.Value());
    for (const auto it : kCounters) {
      row.append(Json::UInt64(counts.*it));
    }
    rows.append(row);
  }
  return rows;
}

bool IsRow(const Json::Value& aRow)
{
  if (!aRow.isArray() || aRow.size() != kKeyMembers + kCounters.size() || !aRow[0].isUInt64()) {
    return false;
  }
  for (Json::ArrayIndex n = 1; n < kKeyMembers; ++n) {
    if (!aRow[n].isString()) {
      return false;
    }
  }
  for (Json::ArrayIndex n = kKeyMembers; n < aRow.size(); ++n) {
    if (!aRow[n].isUInt64()) {
      return false;
    }
  }
  return true;
}

std::optional<EvidenceTable> RowsFromJson(const Json::Value& aRows)
{
  EvidenceTable table;
  for (const auto& it : aRows) {
    if (!IsRow(it)) {
      return std::nullopt;
    }
    const EvidenceKey key{ it[0].asUInt64(),
                           VersionId(it[1].asString()),
                           ClassName(it[2].asString()),
                           TeamName(it[3].asString()) };
    EvidenceCounts counts;
    for (Json::ArrayIndex n = 0; n < kCounters.size(); ++n) {
      counts.*kCounters[n] = it[kKeyMembers + n].asUInt64();
    }
    table[key] = counts;
  }
  return table;
}

} // namespace

void EvidenceCounts::Add(const EvidenceCounts& aOther)
{
  for (const auto it : kCounters) {
    this->*it += aOther.*it;
  }
}

void EvidenceCounts::TakeLater(const EvidenceCounts& aOther)
{
  for (const auto it : kCounters) {
    this->*it = std::max(this->*it, aOther.*it);
  }
}

EvidenceCounts EvidenceCounts::Minus(const EvidenceCounts& aOther) const
{
  EvidenceCounts difference;
  for (const auto it : kCounters) {
    difference.*it = this->*it > aOther.*it ? this->*it - aOther.*it : 0;
  }
  return difference;
}

bool EvidenceCounts::IsZero() const
{
  return *this == EvidenceCounts();
}

std::string EncodeEvidenceUp(const EvidenceUp& aMessage)
{
  Json::Value json;
  json["from"] = aMessage.mFrom.Value();
  json["zone"] = aMessage.mZone.Value();
  json["sum"] = aMessage.mIsZoneSum;
  json["rows"] = RowsToJson(aMessage.mRows);
  return WriteJson(json);
}

std::optional<EvidenceUp> DecodeEvidenceUp(const std::string& aText)
{
  JsonObject json(aText);
  EvidenceUp message;
  message.mFrom = InstanceId(json.Text("from"));
  message.mZone = ZoneName(json.Text("zone"));
  message.mIsZoneSum = json.Flag("sum");
  auto rows = RowsFromJson(json.Array("rows"));
  if (!json.IsValid() || !rows) {
    return std::nullopt;
  }
  message.mRows = std::move(*rows);
  return message;
}

std::string EncodeEvidenceDown(const EvidenceDown& aMessage)
{
  Json::Value json;
  json["pass"] = aMessage.mPassOn;
  json["rows"] = RowsToJson(aMessage.mRows);
  return WriteJson(json);
}

std::optional<EvidenceDown> DecodeEvidenceDown(const std::string& aText)
{
  JsonObject json(aText);
  EvidenceDown message;
  message.mPassOn = json.Flag("pass");
  auto rows = RowsFromJson(json.Array("rows"));
  if (!json.IsValid() || !rows) {
    return std::nullopt;
  }
  message.mRows = std::move(*rows);
  return message;
}

} // namespace skylarkchute
