#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <vector>

namespace skylarkchute {

inline constexpr EventDescription kForeignAnswer{ 700,
                                                  EventLevel::Warning,
                                                  "foreign-answer",
                                                  "An endpoint sent late or duplicated parts of a "
                                                  "response, or parts of another attempt's "
                                                  "response; they were dropped." };
inline constexpr EventDescription kStreamResumed{
  701,
  EventLevel::Info,
  "stream-resumed",
  "A broken stream was resumed at the same endpoint."
};
inline constexpr EventDescription kAttemptFailed{ 702,
                                                  EventLevel::Warning,
                                                  "attempt-failed",
                                                  "An attempt at an endpoint ended without a "
                                                  "complete response." };
inline constexpr EventDescription kLoadPollFailed{ 703,
                                                   EventLevel::Warning,
                                                   "load-poll-failed",
                                                   "An endpoint returned no valid load report." };
inline constexpr EventDescription kOrderRefused{
  704,
  EventLevel::Warning,
  "order-refused",
  "An endpoint refused an order, possibly because of an "
  "outdated fencing number."
};
inline constexpr EventDescription kRatingFailed{ 705,
                                                 EventLevel::Info,
                                                 "rating-failed",
                                                 "The rating service returned no valid rating." };

/** Returns every event of this module. */
std::vector<const EventDescription*> EndpointsEvents();

/** Returns the events to log for a finished attempt. */
struct AttemptResult;
std::vector<LogEvent> EventsOf(const AttemptResult& aResult);

} // namespace skylarkchute
