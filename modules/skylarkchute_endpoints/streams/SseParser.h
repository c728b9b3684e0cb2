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

/** Parses the body of an SSE response incrementally; the input may be split at any byte. */
class SseParser
{
public:
  /** @param aMaxEventBytes  size limit of one event; a longer event makes the stream malformed */
  explicit SseParser(std::size_t aMaxEventBytes);

  /** Parses the next bytes and returns the events that they complete. */
  std::vector<SseEvent> Feed(std::string_view aBytes);

  /** Returns whether an event exceeded the size limit; later input is ignored. */
  bool IsMalformed() const { return mMalformed; }

private:
  void ParseLine(std::string_view aLine, std::vector<SseEvent>& aEvents);

  std::size_t mMaxEventBytes;
  std::string mLine;
  SseEvent mEvent;
  bool mHasData = false;
  bool mMalformed = false;
};

} // namespace skylarkchute
