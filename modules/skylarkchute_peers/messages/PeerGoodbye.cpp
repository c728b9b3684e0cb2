#include "PeerGoodbye.h"

#include <skylarkchute_bundles/json/JsonObject.h>

namespace skylarkchute {

std::string EncodePeerGoodbye(const PeerGoodbye& aMessage)
{
  Json::Value json;
  json["from"] = aMessage.mFrom.Value();
  return WriteJson(json);
}

std::optional<PeerGoodbye> DecodePeerGoodbye(const std::string& aText)
{
  JsonObject json(aText);
  const PeerGoodbye message{ InstanceId(json.Text("from")) };
  if (!json.IsValid()) {
    return std::nullopt;
  }
  return message;
}

} // namespace skylarkchute
