#include "ValueText.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaximumNameLength = 64;
constexpr milliseconds kMaxDuration = std::chrono::hours(24 * 365 * 10);

struct DurationUnit
{
  std::string_view mSuffix;
  milliseconds mLength;
};

/** Sorted by length, longest first; WriteDuration depends on it. */
constexpr DurationUnit kUnits[] = {
  { "h", std::chrono::hours(1) },
  { "m", std::chrono::minutes(1) },
  { "s", std::chrono::seconds(1) },
  { "ms", milliseconds(1) },
};

std::string_view Trim(std::string_view aText)
{
  constexpr std::string_view kBlanks = " \t\r";
  const auto first = aText.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kBlanks) - first + 1);
}

/** Returns the unit with a suffix, or null if there is none. */
const DurationUnit* FindUnit(std::string_view aSuffix)
{
  const auto* const end = std::end(kUnits);
  const auto* const found = std::find_if(
    std::begin(kUnits), end, [&](const DurationUnit& aUnit) { return aUnit.mSuffix == aSuffix; });
  return found == end ? nullptr : found;
}

bool IsLetterOrDigit(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9');
}

} // namespace

std::optional<double> ReadNumber(std::string_view aText)
{
  double number = 0;
  const auto* end = aText.data() + aText.size();
  const auto [ptr, ec] = std::from_chars(aText.data(), end, number);
  if (ec != std::errc{} || ptr != end || !std::isfinite(number)) {
    return std::nullopt;
  }
  return number;
}

std::optional<std::uint64_t> ReadCount(std::string_view aText)
{
  std::uint64_t count = 0;
  const auto* end = aText.data() + aText.size();
  const auto [ptr, ec] = std::from_chars(aText.data(), end, count);
  if (ec != std::errc{} || ptr != end) {
    return std::nullopt;
  }
  return count;
}

std::optional<bool> ReadFlag(std::string_view aText)
{
  if (aText == "true") {
    return true;
  }
  if (aText == "false") {
    return false;
  }
  return std::nullopt;
}

std::optional<milliseconds> ReadDuration(std::string_view aText)
{
  double count = 0;
  const auto* end = aText.data() + aText.size();
  const auto [ptr, ec] = std::from_chars(aText.data(), end, count);
  if (ec != std::errc{} || !std::isfinite(count) || count < 0) {
    return std::nullopt;
  }
  const auto* unit = FindUnit(Trim({ ptr, static_cast<std::size_t>(end - ptr) }));
  if (unit == nullptr) {
    return std::nullopt;
  }
  const auto length = count * static_cast<double>(unit->mLength.count());
  if (length > static_cast<double>(kMaxDuration.count())) {
    return std::nullopt;
  }
  return milliseconds(std::llround(length));
}

bool IsWithoutValue(std::string_view aText)
{
  const auto text = Trim(aText);
  return text.empty() || FindUnit(text) != nullptr;
}

std::vector<std::string> ReadList(std::string_view aText)
{
  std::vector<std::string> items;
  if (Trim(aText).empty()) {
    return items;
  }
  while (true) {
    const auto comma = aText.find(',');
    items.emplace_back(Trim(aText.substr(0, comma)));
    if (comma == std::string_view::npos) {
      return items;
    }
    aText.remove_prefix(comma + 1);
  }
}

std::string WriteNumber(double aNumber)
{
  char buf[32];
  const auto [ptr, ec] = std::to_chars(std::begin(buf), std::end(buf), aNumber);
  return ec == std::errc{} ? std::string(std::begin(buf), ptr) : std::string("0");
}

std::string WriteDuration(milliseconds aDuration)
{
  for (const auto& it : kUnits) {
    if (aDuration % it.mLength == milliseconds(0) && aDuration >= it.mLength) {
      return std::to_string(aDuration / it.mLength) + std::string(it.mSuffix);
    }
  }
  return "0ms";
}

std::string WriteList(const std::vector<std::string>& aItems)
{
  std::string text;
  for (const auto& it : aItems) {
    text += (text.empty() ? "" : ", ") + it;
  }
  return text;
}

bool IsPlainName(std::string_view aText)
{
  if (aText.empty() || aText.size() > kMaximumNameLength || !IsLetterOrDigit(aText.front())) {
    return false;
  }
  return std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
    return IsLetterOrDigit(aCharacter) || aCharacter == '.' || aCharacter == '_' ||
           aCharacter == '-';
  });
}

} // namespace skylarkchute
