#include "ChunkParser.h"

#include "../json/JsonObject.h"

namespace skylarkchute {

namespace {

std::uint32_t UIntOrZero(const Json::Value& aUsage, const char* aName)
{
  const auto& value = aUsage[aName];
  return value.isUInt() ? value.asUInt() : 0;
}

bool IsPlainContentKey(const std::string& aKey)
{
  return aKey == "role" || aKey == "content";
}

void ParseDelta(const Json::Value& aDelta, ParsedChunk& aChunk)
{
  for (const auto& key : aDelta.getMemberNames()) {
    const auto& value = aDelta[key];
    if (key == "content" && value.isString()) {
      aChunk.mText += value.asString();
    } else if (!IsPlainContentKey(key) && !value.isNull()) {
      aChunk.mOpaque = true;
    }
  }
}

void ParseChoices(const Json::Value& aChoices, ParsedChunk& aChunk)
{
  for (const auto& choice : aChoices) {
    if (!choice.isObject()) {
      aChunk.mOpaque = true;
      continue;
    }
    const auto& index = choice["index"];
    const bool first = index.isNull() || (index.isIntegral() && index.asLargestInt() == 0);
    const auto& part = choice.isMember("delta") ? choice["delta"] : choice["message"];
    if (!first) {
      aChunk.mOpaque = true;
      continue;
    }
    aChunk.mFinish = aChunk.mFinish || !choice["finish_reason"].isNull();
    if (part.isObject()) {
      ParseDelta(part, aChunk);
    }
  }
}

} // namespace

std::optional<ParsedChunk> ParseChunk(const std::string& aJson)
{
  Json::Value value;
  if (!ParseJsonObject(aJson, value)) {
    return std::nullopt;
  }
  ParsedChunk chunk;
  if (value["id"].isString()) {
    chunk.mAttempt = value["id"].asString();
  }
  if (value["choices"].isArray()) {
    ParseChoices(value["choices"], chunk);
  }
  const auto& usage = value["usage"];
  if (usage.isObject()) {
    chunk.mHasUsage = true;
    chunk.mPromptTokens = UIntOrZero(usage, "prompt_tokens");
    chunk.mCompletionTokens = UIntOrZero(usage, "completion_tokens");
  }
  return chunk;
}

} // namespace skylarkchute
