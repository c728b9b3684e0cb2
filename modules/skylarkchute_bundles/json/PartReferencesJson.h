#pragma once

#include "../parts/BundleParts.h"
#include "JsonObject.h"

#include <vector>

namespace skylarkchute {

/** Returns a JSON array of part names and hashes. */
Json::Value PartsToJson(const std::vector<PartReference>& aParts);

/** Reads the member `parts` of an object; makes the object invalid if the member is not valid. */
std::vector<PartReference> ReadPartReferences(JsonObject& aObject);

} // namespace skylarkchute
