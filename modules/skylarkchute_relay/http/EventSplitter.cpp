#include "EventSplitter.h"

#include <skylarkchute_core/skylarkchute_core.h>

namespace skylarkchute {

namespace {

std::string_view Trimmed(std::string_view aText)
{
  while (!aText.empty() && (aText.front() == ' ' || aText.front() == '\t')) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && (aText.back() == ' ' || aText.back() == '\r')) {
    aText.remove_suffix(1);
  }
  return aText;
}

std::optional<std::uint64_t> IdOf(std::string_view aEvent)
{
  constexpr std::string_view kField = "id:";
  std::size_t start = 0;
  while (start < aEvent.size()) {
    const auto end = std::min(aEvent.find('\n', start), aEvent.size());
    const auto line = aEvent.substr(start, end - start);
    if (line.substr(0, kField.size()) == kField) {
      return ReadCount(Trimmed(line.substr(kField.size())));
    }
    start = end + 1;
  }
  return std::nullopt;
}

/** Returns the length in bytes of the first complete event, zero when there is none. */
std::size_t EventLength(std::string_view aBytes)
{
  std::size_t start = 0;
  while (true) {
    const auto newline = aBytes.find('\n', start);
    if (newline == std::string_view::npos) {
      return 0;
    }
    const auto line = aBytes.substr(start, newline - start);
    if (line.empty() || line == "\r") {
      return newline + 1;
    }
    start = newline + 1;
  }
}

} // namespace

std::vector<StreamEvent> EventSplitter::Feed(std::string_view aBytes)
{
  mPartialEvent.append(aBytes);
  std::vector<StreamEvent> events;
  std::size_t taken = 0;
  while (const auto length = EventLength(std::string_view(mPartialEvent).substr(taken))) {
    StreamEvent event;
    event.mBytes = mPartialEvent.substr(taken, length);
    event.mId = IdOf(event.mBytes);
    events.push_back(std::move(event));
    taken += length;
  }
  mPartialEvent.erase(0, taken);
  return events;
}

} // namespace skylarkchute
