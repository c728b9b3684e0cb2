#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkchute {

/** Parses a finite decimal number. Like ReadCount, ReadFlag and ReadDuration, returns nothing if
    the text is not valid or has trailing characters. */
std::optional<double> ReadNumber(std::string_view aText);

/** Parses an unsigned decimal integer. */
std::optional<std::uint64_t> ReadCount(std::string_view aText);

/** Parses `true` or `false`. */
std::optional<bool> ReadFlag(std::string_view aText);

/** Parses a number with one of the units `ms`, `s`, `m`, `h`, such as `250ms` or `7.5s`; at most
   ten years of 365 days. Rounds to the nearest millisecond. */
std::optional<std::chrono::milliseconds> ReadDuration(std::string_view aText);

/** Returns whether a text has no value: it is empty, blank or one of the units of ReadDuration. */
bool IsWithoutValue(std::string_view aText);

/** Splits a comma-separated list and trims spaces and tabs; an empty text gives an empty list. */
std::vector<std::string> ReadList(std::string_view aText);

/** Returns the shortest text that parses to the same number. */
std::string WriteNumber(double aNumber);

/** Returns the duration in the largest unit that divides it, such as `5s`. */
std::string WriteDuration(std::chrono::milliseconds aDuration);

/** Joins the items with `, `. */
std::string WriteList(const std::vector<std::string>& aItems);

/** Returns whether the text is a valid name in a bundle: 1 to 64 letters, digits, `.`, `_` or
    `-`, the first one a letter or digit. */
bool IsPlainName(std::string_view aText);

} // namespace skylarkchute
