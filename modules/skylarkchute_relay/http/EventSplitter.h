#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkchute {

/** One complete server-sent event: the bytes as received, including the empty line that ends it. */
struct StreamEvent
{
  std::string mBytes;
  std::optional<std::uint64_t> mId; /**< `id` field; empty if missing or not a number. */
  bool mIsComment = false;          /**< Has no field, so it is no event to its receiver. */
};

/** Splits the body of a `text/event-stream` into complete events. Does no I/O. */
class EventSplitter
{
public:
  /** Appends bytes and returns the events that they complete. */
  std::vector<StreamEvent> Feed(std::string_view aBytes);

  /** Returns whether an incomplete event is buffered. */
  bool HasPartialEvent() const { return !mPartialEvent.empty(); }

  /** Returns whether the incomplete event has passed the limit of 1 MiB. */
  bool IsEventTooLong() const;

private:
  std::string mPartialEvent;
  std::size_t mLineStart = 0; /**< Of the incomplete line, in mPartialEvent. */
};

} // namespace skylarkchute
