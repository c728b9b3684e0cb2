#include "JsonObject.h"

#include <memory>

namespace skylarkchute {

namespace leaf = boost::leaf;

JsonObject::JsonObject(const std::string& aText)
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  std::string errors;
  try {
    if (reader->parse(aText.data(), aText.data() + aText.size(), &mValue, &errors) &&
        mValue.isObject()) {
      return;
    }
  } catch (const Json::Exception&) {
    // The reader throws if the text is nested too deeply.
  }
  mValue = Json::Value(Json::objectValue);
  MarkInvalid("");
}

JsonObject::JsonObject(Json::Value aValue) : mValue(std::move(aValue))
{
  if (!mValue.isObject()) {
    mValue = Json::Value(Json::objectValue);
    MarkInvalid("");
  }
}

std::string JsonObject::Text(const char* aMember)
{
  if (!mValue[aMember].isString()) {
    MarkInvalid(aMember);
    return {};
  }
  return mValue[aMember].asString();
}

std::uint64_t JsonObject::Count(const char* aMember)
{
  if (!mValue[aMember].isUInt64()) {
    MarkInvalid(aMember);
    return 0;
  }
  return mValue[aMember].asUInt64();
}

double JsonObject::Number(const char* aMember)
{
  if (!mValue[aMember].isNumeric()) {
    MarkInvalid(aMember);
    return 0;
  }
  return mValue[aMember].asDouble();
}

WallTime JsonObject::Time(const char* aMember)
{
  if (!mValue[aMember].isInt64()) {
    MarkInvalid(aMember);
    return {};
  }
  return WallTime(std::chrono::milliseconds(mValue[aMember].asInt64()));
}

bool JsonObject::Flag(const char* aMember)
{
  if (!mValue[aMember].isBool()) {
    MarkInvalid(aMember);
    return false;
  }
  return mValue[aMember].asBool();
}

const Json::Value& JsonObject::Array(const char* aMember)
{
  if (!mValue[aMember].isArray()) {
    MarkInvalid(aMember);
    mValue[aMember] = Json::Value(Json::arrayValue);
  }
  return mValue[aMember];
}

JsonObject JsonObject::Object(const char* aMember)
{
  return JsonObject(mValue[aMember]);
}

void JsonObject::MarkInvalid(const std::string& aMember)
{
  mInvalidMembers.push_back(aMember);
}

leaf::result<void> JsonObject::Check(const std::string& aObjectName) const
{
  if (mInvalidMembers.empty()) {
    return {};
  }
  Faults faults;
  for (const auto& it : mInvalidMembers) {
    faults.mFaults.push_back({ aObjectName, it, "is missing or not valid" });
  }
  return leaf::new_error(std::move(faults));
}

Json::Int64 TimeToJson(WallTime aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime.time_since_epoch()).count();
}

} // namespace skylarkchute
