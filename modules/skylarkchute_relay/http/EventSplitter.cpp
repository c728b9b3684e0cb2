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

/** Returns whether all lines are empty or comments. */
bool IsComment(std::string_view aEvent)
{
  std::size_t start = 0;
  while (start < aEvent.size()) {
    const char c = aEvent[start];
    if (c != ':' && c != '\n' && c != '\r') {
      return false;
    }
    start = std::min(aEvent.find('\n', start), aEvent.size() - 1) + 1;
  }
  return true;
}

constexpr std::size_t kMaxEventBytes = 1024 * 1024;

} // namespace

std::vector<StreamEvent> EventSplitter::Feed(std::string_view aBytes)
{
  auto scanned = mPartialEvent.size();
  mPartialEvent.append(aBytes);
  std::vector<StreamEvent> events;
  std::size_t taken = 0;
  for (auto newline = mPartialEvent.find('\n', scanned); newline != std::string::npos;
       newline = mPartialEvent.find('\n', scanned)) {
    const auto line = std::string_view(mPartialEvent).substr(mLineStart, newline - mLineStart);
    scanned = newline + 1;
    mLineStart = scanned;
    if (line.empty() || line == "\r") {
      StreamEvent event;
      event.mBytes = mPartialEvent.substr(taken, mLineStart - taken);
      event.mId = IdOf(event.mBytes);
      event.mIsComment = IsComment(event.mBytes);
      events.push_back(std::move(event));
      taken = mLineStart;
    }
  }
  mPartialEvent.erase(0, taken);
  mLineStart -= taken;
  return events;
}

bool EventSplitter::IsEventTooLong() const
{
  return mPartialEvent.size() > kMaxEventBytes;
}

} // namespace skylarkchute
