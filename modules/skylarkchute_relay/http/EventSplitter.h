#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkchute {

/** One whole event of a stream, bytes as received, with the empty line that ends it. */
struct StreamEvent
{
  std::string mBytes;
  std::optional<std::uint64_t> mId;
};

/** Cuts the body of an event stream into whole events. Free of I/O. */
class EventSplitter
{
public:
  /** Takes further bytes and returns the events that they complete. */
  std::vector<StreamEvent> Feed(std::string_view aBytes);

  /** Returns whether bytes of an event wait for its end. */
  bool HasPart() const { return !mPart.empty(); }

private:
  std::string mPart;
};

} // namespace skylarkchute
