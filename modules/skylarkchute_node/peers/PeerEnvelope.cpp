#include "PeerEnvelope.h"

namespace skylarkchute {

std::string WriteEnvelope(const PeerEnvelope& aEnvelope)
{
  std::string text = "{\"generation\":" + std::to_string(aEnvelope.mHead.mGeneration);
  if (aEnvelope.mHead.mConfirmedAge) {
    text += ",\"age_ms\":" + std::to_string(aEnvelope.mHead.mConfirmedAge->count());
  }
  return text + ",\"message\":" + aEnvelope.mMessage + "}";
}

std::optional<PeerEnvelope> ReadEnvelope(const InstanceId& aFrom, const std::string& aText)
{
  const auto object = ReadJsonObject(aText);
  if (!object || !(*object)["message"].isObject()) {
    return std::nullopt;
  }
  PeerEnvelope envelope;
  envelope.mHead.mFrom = aFrom;
  envelope.mHead.mGeneration = JsonCountField(*object, "generation");
  if (object->isMember("age_ms")) {
    envelope.mHead.mConfirmedAge = std::chrono::milliseconds(JsonIntegerField(*object, "age_ms"));
  }
  envelope.mMessage = WriteJson((*object)["message"]);
  return envelope;
}

} // namespace skylarkchute
