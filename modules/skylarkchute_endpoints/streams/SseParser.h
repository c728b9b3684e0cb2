#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkchute {

/** One server-sent event. */
struct SseEvent
{
  std::string mId; /**< Text of the `id` field, empty without one. */
  std::string mName;
  std::string mData;
};

/** Splits the bytes of an SSE response into events. Accepts any split of the bytes. */
class SseParser
{
public:
  /** @param aMaxEventBytes  a longer event makes the stream malformed */
  explicit SseParser(std::size_t aMaxEventBytes);

  /** Takes in the next bytes and returns the events that they complete. */
  std::vector<SseEvent> Feed(std::string_view aBytes);

  /** Returns whether an event was longer than the bound; nothing is parsed after that. */
  bool IsMalformed() const { return mMalformed; }

private:
  void TakeLine(std::string_view aLine, std::vector<SseEvent>& aEvents);

  std::size_t mMaxEventBytes;
  std::string mLine;
  SseEvent mEvent;
  bool mHasData = false;
  bool mMalformed = false;
};

} // namespace skylarkchute
