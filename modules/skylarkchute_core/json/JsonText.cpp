#include "JsonText.h"

#include <memory>

namespace skylarkchute {

namespace {

const Json::Value& Member(const Json::Value& aObject, const char* aName)
{
  return aObject.isObject() ? aObject[aName] : Json::Value::nullSingleton();
}

} // namespace

std::string WriteJson(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

std::optional<Json::Value> ReadJsonObject(std::string_view aText)
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  try {
    if (!reader->parse(aText.data(), aText.data() + aText.size(), &value, &errors)) {
      return std::nullopt;
    }
  } catch (const Json::Exception&) {
    return std::nullopt;
  }
  if (!value.isObject()) {
    return std::nullopt;
  }
  return value;
}

std::string JsonTextField(const Json::Value& aObject, const char* aName)
{
  const auto& member = Member(aObject, aName);
  return member.isString() ? member.asString() : std::string();
}

std::uint64_t JsonCountField(const Json::Value& aObject, const char* aName)
{
  const auto& member = Member(aObject, aName);
  return member.isUInt64() ? member.asUInt64() : 0;
}

std::int64_t JsonIntegerField(const Json::Value& aObject, const char* aName)
{
  const auto& member = Member(aObject, aName);
  return member.isInt64() ? member.asInt64() : 0;
}

double JsonNumberField(const Json::Value& aObject, const char* aName)
{
  const auto& member = Member(aObject, aName);
  return member.isNumeric() ? member.asDouble() : 0;
}

bool JsonFlagField(const Json::Value& aObject, const char* aName)
{
  const auto& member = Member(aObject, aName);
  return member.isBool() && member.asBool();
}

const Json::Value& JsonArrayField(const Json::Value& aObject, const char* aName)
{
  static const Json::Value kEmpty(Json::arrayValue);
  const auto& member = Member(aObject, aName);
  return member.isArray() ? member : kEmpty;
}

} // namespace skylarkchute
