#pragma once

#include <json/json.h>

#include <string>

namespace skylarkchute {

/** Parses text that must be one JSON object; deep nesting is refused.
    @returns whether @p aValue holds the object */
bool ParseJsonObject(const std::string& aText, Json::Value& aValue);

/** Returns the compact text of a value. */
std::string WriteJsonText(const Json::Value& aValue);

} // namespace skylarkchute
