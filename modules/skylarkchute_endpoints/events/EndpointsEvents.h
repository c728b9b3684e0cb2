#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <vector>

namespace skylarkchute {

inline constexpr EventDescription kForeignAnswer{ 700,
                                                  EventLevel::Warning,
                                                  "foreign-answer",
                                                  "An endpoint sent late, foreign or duplicated "
                                                  "parts of an answer; they were dropped." };
inline constexpr EventDescription kStreamResumed{ 701,
                                                  EventLevel::Info,
                                                  "stream-resumed",
                                                  "A broken stream was resumed on its endpoint." };
inline constexpr EventDescription kAttemptFailed{ 702,
                                                  EventLevel::Warning,
                                                  "attempt-failed",
                                                  "An attempt at an endpoint ended without a whole "
                                                  "answer." };
inline constexpr EventDescription kLoadPollFailed{ 703,
                                                   EventLevel::Warning,
                                                   "load-poll-failed",
                                                   "An endpoint did not report its load." };
inline constexpr EventDescription kOrderRefused{
  704,
  EventLevel::Warning,
  "order-refused",
  "An endpoint refused an order, possibly for an old "
  "fencing number."
};
inline constexpr EventDescription kRatingFailed{ 705,
                                                 EventLevel::Info,
                                                 "rating-failed",
                                                 "The rating service gave no rating." };

/** Returns every event of this module. */
std::vector<const EventDescription*> EndpointsEvents();

/** Returns the events that the end of an attempt calls for. */
struct AttemptResult;
std::vector<LogEvent> EventsOf(const AttemptResult& aResult);

} // namespace skylarkchute
