#include "JsonObject.h"

#include <memory>

namespace skylarkchute {

namespace {

constexpr int kMaxNesting = 64;

} // namespace

bool ParseJsonObject(const std::string& aText, Json::Value& aValue)
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["stackLimit"] = kMaxNesting;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  try {
    return reader->parse(aText.data(), aText.data() + aText.size(), &aValue, nullptr) &&
           aValue.isObject();
  } catch (const Json::Exception&) {
    return false;
  }
}

std::string WriteJsonText(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

} // namespace skylarkchute
