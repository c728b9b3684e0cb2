#include "EndpointsEvents.h"

#include "../attempts/AttemptResult.h"

namespace skylarkchute {

std::vector<const EventDescription*> EndpointsEvents()
{
  return { &kForeignAnswer,  &kStreamResumed, &kAttemptFailed,
           &kLoadPollFailed, &kOrderRefused,  &kRatingFailed };
}

std::vector<LogEvent> EventsOf(const AttemptResult& aResult)
{
  std::vector<LogEvent> events;
  const LogField attempt{ "attempt", aResult.mAttempt.Value() };
  if (aResult.mDroppedChunks > 0) {
    events.push_back(
      { &kForeignAnswer, { attempt, { "dropped", std::to_string(aResult.mDroppedChunks) } } });
  }
  if (aResult.mResumes > 0) {
    events.push_back(
      { &kStreamResumed, { attempt, { "resumes", std::to_string(aResult.mResumes) } } });
  }
  const auto end = aResult.mOutcome.mEnd;
  if (end != AttemptEnd::Complete && end != AttemptEnd::Cancelled) {
    events.push_back({ &kAttemptFailed,
                       { attempt,
                         { "verdict", std::string(VerdictName(aResult.mOutcome.mVerdict)) },
                         { "detail", aResult.mDetail } } });
  }
  return events;
}

} // namespace skylarkchute
