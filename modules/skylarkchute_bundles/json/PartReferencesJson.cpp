#include "PartReferencesJson.h"

namespace skylarkchute {

Json::Value PartsToJson(const std::vector<PartReference>& aParts)
{
  Json::Value value(Json::arrayValue);
  for (const auto& it : aParts) {
    Json::Value part(Json::objectValue);
    part["name"] = it.mName;
    part["hash"] = it.mHash;
    value.append(std::move(part));
  }
  return value;
}

std::vector<PartReference> ReadPartReferences(JsonObject& aObject)
{
  std::vector<PartReference> parts;
  for (const auto& it : aObject.Array("parts")) {
    JsonObject entry(it);
    parts.push_back({ entry.Text("name"), entry.Text("hash") });
    if (!entry.Check("part")) {
      aObject.MarkInvalid("parts");
      return {};
    }
  }
  return parts;
}

} // namespace skylarkchute
