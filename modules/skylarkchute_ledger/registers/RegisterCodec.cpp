#include "RegisterCodec.h"

namespace skylarkchute {

namespace {

Json::Value ToJson(const RegisterWrite& aRegister)
{
  Json::Value json;
  json["k"] = aRegister.mKey;
  json["v"] = aRegister.mValue;
  json["e"] = Json::Int64(
    std::chrono::duration_cast<std::chrono::milliseconds>(aRegister.mExpires.time_since_epoch())
      .count());
  return json;
}

RegisterWrite FromJson(const Json::Value& aJson)
{
  RegisterWrite out;
  out.mKey = JsonTextField(aJson, "k");
  out.mValue = JsonTextField(aJson, "v");
  out.mExpires = WallTime(std::chrono::milliseconds(JsonIntegerField(aJson, "e")));
  return out;
}

} // namespace

std::string EncodeRegister(const RegisterWrite& aRegister)
{
  return WriteJson(ToJson(aRegister));
}

std::optional<RegisterWrite> DecodeRegister(const std::string& aText)
{
  const auto json = ReadJsonObject(aText);
  if (!json || JsonTextField(*json, "k").empty()) {
    return std::nullopt;
  }
  return FromJson(*json);
}

std::string EncodeHead(const ShardHead& aHead)
{
  Json::Value json;
  json["first"] = Json::UInt64(aHead.mFirst);
  json["number"] = Json::UInt64(aHead.mNumber);
  json["sealed"] = aHead.mSealed;
  json["registers"] = Json::Value(Json::arrayValue);
  for (const auto& it : aHead.mRegisters) {
    json["registers"].append(ToJson(it));
  }
  return WriteJson(json);
}

std::optional<ShardHead> DecodeHead(const std::string& aText)
{
  const auto json = ReadJsonObject(aText);
  if (!json || !json->isMember("registers")) {
    return std::nullopt;
  }
  ShardHead head;
  head.mFirst = JsonCountField(*json, "first");
  head.mNumber = JsonCountField(*json, "number");
  head.mSealed = JsonFlagField(*json, "sealed");
  for (const auto& it : JsonArrayField(*json, "registers")) {
    head.mRegisters.push_back(FromJson(it));
  }
  return head;
}

} // namespace skylarkchute
