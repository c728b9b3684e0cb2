#pragma once

#include <json/json.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkchute {

/** Returns @p aValue as JSON text without white space. */
std::string WriteJson(const Json::Value& aValue);

/** Returns the JSON object in @p aText, or nothing if the text is not valid. Never throws. */
std::optional<Json::Value> ReadJsonObject(std::string_view aText);

/** Return one member of an object, or the empty value of the type (zero, false, no text) if it is
    absent or has another type. Never throw. */
std::string JsonTextField(const Json::Value& aObject, const char* aName);
std::uint64_t JsonCountField(const Json::Value& aObject, const char* aName);
std::int64_t JsonIntegerField(const Json::Value& aObject, const char* aName);
double JsonNumberField(const Json::Value& aObject, const char* aName);
bool JsonFlagField(const Json::Value& aObject, const char* aName);
/** Returns an empty array unless the member is an array. */
const Json::Value& JsonArrayField(const Json::Value& aObject, const char* aName);

} // namespace skylarkchute
