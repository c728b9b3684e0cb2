#include "ChatBody.h"

#include <skylarkchute_core/hashing/Digest.h>
#include <skylarkchute_core/hashing/Placement.h>
#include <skylarkchute_endpoints/json/JsonObject.h>

namespace skylarkchute {

namespace {

constexpr std::size_t kPrefixBytes = 1024;
constexpr std::size_t kBytesPerToken = 4; // Of the JSON text of the messages; an estimate.

std::string MessagesError(const Json::Value& aMessages)
{
  if (!aMessages.isArray() || aMessages.empty()) {
    return "messages must be a non-empty array";
  }
  for (const auto& it : aMessages) {
    if (!it.isObject() || !it["role"].isString()) {
      return "each message must be an object with a role";
    }
  }
  return "";
}

std::string BodyError(const Json::Value& aBody)
{
  if (auto error = MessagesError(aBody["messages"]); !error.empty()) {
    return error;
  }
  if (!aBody["model"].isNull() && !aBody["model"].isString()) {
    return "model must be a string";
  }
  if (!aBody["stream"].isNull() && !aBody["stream"].isBool()) {
    return "stream must be true or false";
  }
  for (const auto* name : { "max_tokens", "max_completion_tokens" }) {
    if (!aBody[name].isNull() && !aBody[name].isUInt()) {
      return std::string(name) + " must be a whole number";
    }
  }
  return "";
}

std::uint32_t MaxTokens(const Json::Value& aBody)
{
  const auto& newer = aBody["max_completion_tokens"];
  const auto& older = aBody["max_tokens"];
  return newer.isUInt() ? newer.asUInt() : older.isUInt() ? older.asUInt() : 0;
}

std::string FingerprintOf(Json::Value aBody)
{
  // These fields do not affect what the engine computes for the prompt.
  for (const auto* name : { "model", "stream", "stream_options", "user", "metadata" }) {
    aBody.removeMember(name);
  }
  return Sha256Hex(WriteJsonText(aBody));
}

} // namespace

ChatBody ReadChatBody(const std::string& aBody)
{
  ChatBody chat;
  Json::Value value;
  if (!ParseJsonObject(aBody, value)) {
    chat.mError = "the body is not a JSON object";
    return chat;
  }
  const auto& body = value;
  chat.mError = BodyError(body);
  if (!chat.mError.empty()) {
    return chat;
  }
  const auto messages = WriteJsonText(body["messages"]);
  chat.mModel = body["model"].isString() ? body["model"].asString() : "";
  chat.mStream = body["stream"].isBool() && body["stream"].asBool();
  chat.mMaxTokens = MaxTokens(body);
  chat.mPromptTokens = static_cast<std::uint32_t>(messages.size() / kBytesPerToken + 1);
  chat.mPrefixHash = std::to_string(StableHash(messages.substr(0, kPrefixBytes)));
  chat.mFingerprint = FingerprintOf(value);
  return chat;
}

} // namespace skylarkchute
