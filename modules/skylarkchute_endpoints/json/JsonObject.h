#pragma once

#include <json/json.h>

#include <string>

namespace skylarkchute {

/** Parses text that must be a single JSON object. Nesting deeper than 64 levels is an error.
    @returns whether @p aValue contains the parsed object */
bool ParseJsonObject(const std::string& aText, Json::Value& aValue);

/** Returns a value as JSON text without whitespace. */
std::string WriteJsonText(const Json::Value& aValue);

} // namespace skylarkchute
