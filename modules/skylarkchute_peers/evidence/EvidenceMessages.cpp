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
/** Number of elements of a row before its counters: window, class, team. */
constexpr Json::ArrayIndex kKeyMembers = 3;

/** Groups the rows by version and encodes windows relative to the first one, which makes messages
    smaller. */
Json::Value RowsToJson(const EvidenceTable& aRows)
{
  const auto base = aRows.empty() ? 0 : aRows.begin()->first.mWindow;
  Json::Value versions(Json::objectValue);
  for (const auto& [key, counts] : aRows) {
    Json::Value row(Json::arrayValue);
    row.append(Json::UInt64(key.mWindow - base));
    row.append(key.mClass.Value());
    row.append(key.mTeam.Value());
    for (const auto it : kCounters) {
      row.append(Json::UInt64(counts.*it));
    }
    versions[key.mVersion.Value()].append(row);
  }
  Json::Value json;
  json["base"] = Json::UInt64(base);
  json["versions"] = std::move(versions);
  return json;
}

bool IsRow(const Json::Value& aRow)
{
  if (!aRow.isArray() || aRow.size() != kKeyMembers + kCounters.size() || !aRow[0].isUInt64() ||
      !aRow[1].isString() || !aRow[2].isString()) {
    return false;
  }
  for (Json::ArrayIndex n = kKeyMembers; n < aRow.size(); ++n) {
    if (!aRow[n].isUInt64()) {
      return false;
    }
  }
  return true;
}

bool ReadRow(const Json::Value& aRow,
             const VersionId& aVersion,
             std::uint64_t aBase,
             EvidenceTable& aTable)
{
  if (!IsRow(aRow)) {
    return false;
  }
  const EvidenceKey key{ aBase + aRow[0].asUInt64(),
                         aVersion,
                         ClassName(aRow[1].asString()),
                         TeamName(aRow[2].asString()) };
  auto& counts = aTable[key];
  for (Json::ArrayIndex n = 0; n < kCounters.size(); ++n) {
    counts.*kCounters[n] = aRow[kKeyMembers + n].asUInt64();
  }
  return true;
}

std::optional<EvidenceTable> RowsFromJson(const Json::Value& aJson)
{
  if (!aJson.isObject() || !aJson["base"].isUInt64() || !aJson["versions"].isObject()) {
    return std::nullopt;
  }
  EvidenceTable table;
  const auto& versions = aJson["versions"];
  for (const auto& version : versions.getMemberNames()) {
    if (!versions[version].isArray()) {
      return std::nullopt;
    }
    for (const auto& it : versions[version]) {
      if (!ReadRow(it, VersionId(version), aJson["base"].asUInt64(), table)) {
        return std::nullopt;
      }
    }
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

void EvidenceCounts::MergeMax(const EvidenceCounts& aOther)
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
  auto rows = RowsFromJson(json.Member("rows"));
  if (!json.IsValid() || !rows) {
    return std::nullopt;
  }
  message.mRows = std::move(*rows);
  return message;
}

std::string EncodeEvidenceDown(const EvidenceDown& aMessage)
{
  Json::Value json;
  json["pass"] = aMessage.mForwardToZone;
  json["rows"] = RowsToJson(aMessage.mRows);
  return WriteJson(json);
}

std::optional<EvidenceDown> DecodeEvidenceDown(const std::string& aText)
{
  JsonObject json(aText);
  EvidenceDown message;
  message.mForwardToZone = json.Flag("pass");
  auto rows = RowsFromJson(json.Member("rows"));
  if (!json.IsValid() || !rows) {
    return std::nullopt;
  }
  message.mRows = std::move(*rows);
  return message;
}

} // namespace skylarkchute
