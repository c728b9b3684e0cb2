#pragma once

#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace skylarkchute {

/** A member of a JSON object: its name as written, without quotes, and the text of its value. */
using JsonMemberText = std::pair<std::string_view, std::string_view>;

/** Splits the text of a JSON object into its members. Only strings and brackets are looked at, so
    that members that a parser refuses do not hide the others.
    @returns nothing when the text is not an object or its brackets do not match */
std::optional<std::vector<JsonMemberText>> SplitJsonObject(std::string_view aText);

/** Splits the text of a JSON array into its elements. @see SplitJsonObject */
std::optional<std::vector<std::string_view>> SplitJsonArray(std::string_view aText);

} // namespace skylarkchute
