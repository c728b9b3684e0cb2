#include "JsonSplitter.h"

namespace skylarkchute {

namespace {

constexpr std::string_view kSpace = " \t\r\n";

std::string_view Trim(std::string_view aText)
{
  const auto begin = aText.find_first_not_of(kSpace);
  if (begin == std::string_view::npos) {
    return {};
  }
  return aText.substr(begin, aText.find_last_not_of(kSpace) - begin + 1);
}

/** Returns the position behind a string that begins at a quote, or npos if it does not end. */
std::size_t EndOfString(std::string_view aText, std::size_t aBegin)
{
  for (auto n = aBegin + 1; n < aText.size(); ++n) {
    if (aText[n] == '\\') {
      ++n;
    } else if (aText[n] == '"') {
      return n + 1;
    }
  }
  return std::string_view::npos;
}

/** Splits the text between two brackets at the commas that are not inside other brackets. */
std::optional<std::vector<std::string_view>> SplitItems(std::string_view aText,
                                                        char aOpen,
                                                        char aClose)
{
  const auto text = Trim(aText);
  if (text.size() < 2 || text.front() != aOpen || text.back() != aClose) {
    return std::nullopt;
  }
  const auto inner = text.substr(1, text.size() - 2);
  std::vector<std::string_view> items;
  std::size_t depth = 0;
  std::size_t begin = 0;
  for (std::size_t n = 0; n < inner.size(); ++n) {
    const char c = inner[n];
    if (c == '"') {
      const auto end = EndOfString(inner, n);
      if (end == std::string_view::npos) {
        return std::nullopt;
      }
      n = end - 1;
    } else if (c == '{' || c == '[') {
      ++depth;
    } else if (c == '}' || c == ']') {
      if (depth == 0) {
        return std::nullopt;
      }
      --depth;
    } else if (c == ',' && depth == 0) {
      items.push_back(Trim(inner.substr(begin, n - begin)));
      begin = n + 1;
    }
  }
  if (depth > 0) {
    return std::nullopt;
  }
  const auto last = Trim(inner.substr(begin));
  if (!last.empty() || !items.empty()) {
    items.push_back(last);
  }
  return items;
}

} // namespace

std::optional<std::vector<JsonMemberText>> SplitJsonObject(std::string_view aText)
{
  const auto items = SplitItems(aText, '{', '}');
  if (!items) {
    return std::nullopt;
  }
  std::vector<JsonMemberText> members;
  for (const auto it : *items) {
    const auto end = !it.empty() && it.front() == '"' ? EndOfString(it, 0) : std::string_view::npos;
    const auto colon = end == std::string_view::npos ? end : it.find_first_not_of(kSpace, end);
    if (colon == std::string_view::npos || it[colon] != ':') {
      return std::nullopt;
    }
    members.emplace_back(it.substr(1, end - 2), Trim(it.substr(colon + 1)));
  }
  return members;
}

std::optional<std::vector<std::string_view>> SplitJsonArray(std::string_view aText)
{
  return SplitItems(aText, '[', ']');
}

} // namespace skylarkchute
