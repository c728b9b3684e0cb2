#include "RegisterForward.h"

#include "RegisterCodec.h"

#include <skylarkchute_bundles/json/JsonObject.h>

#include <array>

namespace skylarkchute {

namespace {

struct ResultName
{
  RegisterResult mResult;
  const char* mName;
};

constexpr std::array<ResultName, 5> kResultNames{ {
  { RegisterResult::Won, "won" },
  { RegisterResult::Lost, "lost" },
  { RegisterResult::NotWritten, "not-written" },
  { RegisterResult::Unresolved, "unresolved" },
  { RegisterResult::Absent, "absent" },
} };

} // namespace

std::string EncodeRegisterForward(const RegisterForward& aMessage)
{
  Json::Value json;
  json["read"] = aMessage.mReadOnly;
  json["register"] = EncodeRegister(aMessage.mWrite);
  return WriteJson(json);
}

std::optional<RegisterForward> DecodeRegisterForward(const std::string& aText)
{
  JsonObject json(aText);
  const bool readOnly = json.Flag("read");
  const auto write = DecodeRegister(json.Text("register"));
  if (!json.IsValid() || !write) {
    return std::nullopt;
  }
  return RegisterForward{ readOnly, *write };
}

std::string EncodeRegisterForwardReply(const RegisterForwardReply& aMessage)
{
  Json::Value json;
  for (const auto& it : kResultNames) {
    if (it.mResult == aMessage.mResult) {
      json["result"] = it.mName;
    }
  }
  json["value"] = aMessage.mValue;
  return WriteJson(json);
}

std::optional<RegisterForwardReply> DecodeRegisterForwardReply(const std::string& aText)
{
  JsonObject json(aText);
  const auto name = json.Text("result");
  const auto value = json.Text("value");
  if (!json.IsValid()) {
    return std::nullopt;
  }
  for (const auto& it : kResultNames) {
    if (name == it.mName) {
      return RegisterForwardReply{ it.mResult, value };
    }
  }
  return std::nullopt;
}

} // namespace skylarkchute
