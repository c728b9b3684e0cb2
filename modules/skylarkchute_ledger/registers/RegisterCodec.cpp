#include "RegisterCodec.h"

#include <skylarkchute_bundles/json/JsonObject.h>

namespace skylarkchute {

namespace {

Json::Value ToJson(const RegisterWrite& aRegister)
{
  Json::Value json;
  json["k"] = aRegister.mKey;
  json["v"] = aRegister.mValue;
  json["e"] = TimeToJson(aRegister.mExpires);
  return json;
}

RegisterWrite FromJson(JsonObject& aJson)
{
  RegisterWrite out;
  out.mKey = aJson.Text("k");
  out.mValue = aJson.Text("v");
  out.mExpires = aJson.Time("e");
  return out;
}

} // namespace

std::string EncodeRegister(const RegisterWrite& aRegister)
{
  return WriteJson(ToJson(aRegister));
}

std::optional<RegisterWrite> DecodeRegister(const std::string& aText)
{
  JsonObject json(aText);
  auto out = FromJson(json);
  if (!json.IsValid() || out.mKey.empty()) {
    return std::nullopt;
  }
  return out;
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
  JsonObject json(aText);
  ShardHead head;
  head.mFirst = json.Count("first");
  head.mNumber = json.Count("number");
  head.mSealed = json.Flag("sealed");
  for (const auto& it : json.Array("registers")) {
    JsonObject entry(it);
    head.mRegisters.push_back(FromJson(entry));
    if (!entry.IsValid()) {
      return std::nullopt;
    }
  }
  if (!json.IsValid()) {
    return std::nullopt;
  }
  return head;
}

} // namespace skylarkchute
