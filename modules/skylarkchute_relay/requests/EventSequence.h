#pragma once

#include "../http/EventSplitter.h"

#include <cstdint>
#include <optional>

namespace skylarkchute {

/** Numbers of the events that a caller has received of a stream, over all attempts at it. */
class EventSequence
{
public:
  enum class Step
  {
    Forward,
    Skip, /**< The caller has the event already. */
    Gap,  /**< An event is missing before this one, or what goes on with the stream has none. */
  };

  /** Expects that the next event goes on with the stream, which needs a number if the events of
      former attempts had one. */
  void BeginAttempt() { mNeedsEventId = mLastEventId.has_value(); }

  /** Decides on an event, which is no comment, and counts it as received if it is forwarded. */
  Step Take(const StreamEvent& aEvent);

  /** Returns the number of the last event that the caller has received. */
  const std::optional<std::uint64_t>& Last() const { return mLastEventId; }

private:
  std::optional<std::uint64_t> mLastEventId;
  bool mNeedsEventId = false;
};

} // namespace skylarkchute
