#pragma once

#include <json/json.h>

#include <string>

namespace skylarkchute {

/** Returns a relay's answer to `POST /explain` as text. */
std::string ExplainText(const Json::Value& aDocument);

} // namespace skylarkchute
