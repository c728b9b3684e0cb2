#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkchute {

/** Reads a finite decimal number; nothing may follow it. */
std::optional<double> ReadNumber(std::string_view aText);

/** Reads an unsigned decimal integer; nothing may follow it. */
std::optional<std::uint64_t> ReadCount(std::string_view aText);

/** Reads `true` or `false`. */
std::optional<bool> ReadFlag(std::string_view aText);

/** Reads an integer with one of the units `ms`, `s`, `m`, `h`; at most ten years. */
std::optional<std::chrono::milliseconds> ReadDuration(std::string_view aText);

/** Splits at commas and trims blanks; an empty text gives an empty list. */
std::vector<std::string> ReadList(std::string_view aText);

/** Returns the shortest text that reads back as the same number. */
std::string WriteNumber(double aNumber);

/** Returns the duration in the largest unit that divides it. */
std::string WriteDuration(std::chrono::milliseconds aDuration);

/** Joins with `, `. */
std::string WriteList(const std::vector<std::string>& aItems);

/** Returns whether the text may name something in a bundle: 1 to 64 letters, digits, `.`, `_` or
    `-`, the first one a letter or digit. */
bool IsPlainName(std::string_view aText);

} // namespace skylarkchute
