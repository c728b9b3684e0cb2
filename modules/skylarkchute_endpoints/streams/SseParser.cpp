#include "SseParser.h"

#include <utility>

namespace skylarkchute {

SseParser::SseParser(std::size_t aMaxEventBytes) : mMaxEventBytes(aMaxEventBytes) {}

std::vector<SseEvent> SseParser::Feed(std::string_view aBytes)
{
  std::vector<SseEvent> events;
  for (const char c : aBytes) {
    if (mMalformed) {
      break;
    }
    if (c != '\n') {
      mLine += c;
      mMalformed = mLine.size() + mEvent.mData.size() > mMaxEventBytes;
      continue;
    }
    if (!mLine.empty() && mLine.back() == '\r') {
      mLine.pop_back();
    }
    ParseLine(mLine, events);
    mLine.clear();
  }
  return events;
}

void SseParser::ParseLine(std::string_view aLine, std::vector<SseEvent>& aEvents)
{
  if (aLine.empty()) {
    if (mHasData) {
      aEvents.push_back(std::move(mEvent));
    }
    mEvent = {};
    mHasData = false;
    return;
  }
  const auto colon = aLine.find(':');
  if (colon == 0) {
    return;
  }
  const auto field = aLine.substr(0, colon);
  auto value = colon == std::string_view::npos ? std::string_view() : aLine.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  if (field == "id") {
    mEvent.mId = value;
  } else if (field == "event") {
    mEvent.mName = value;
  } else if (field == "data") {
    if (mHasData) {
      mEvent.mData += '\n';
    }
    mEvent.mData += value;
    mHasData = true;
  }
}

} // namespace skylarkchute
