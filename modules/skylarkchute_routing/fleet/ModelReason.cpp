#include "ModelReason.h"

namespace skylarkchute {

std::string_view ModelReasonName(ModelReason aReason)
{
  switch (aReason) {
    case ModelReason::None:
      return "";
    case ModelReason::SmallestFirst:
      return "smallest-first";
    case ModelReason::MostlyDropped:
      return "mostly-dropped";
    case ModelReason::OneRun:
      return "one-run";
    case ModelReason::Continuation:
      return "continuation";
    case ModelReason::AnswerDropped:
      return "answer-dropped";
    case ModelReason::Confident:
      return "confident";
    case ModelReason::LowConfidence:
      return "low-confidence";
    case ModelReason::Costly:
      return "costly";
    case ModelReason::NoGain:
      return "no-gain";
    case ModelReason::ServiceFull:
      return "service-full";
    case ModelReason::NoTime:
      return "no-time";
    case ModelReason::NoAttempt:
      return "no-attempt";
  }
  return "";
}

} // namespace skylarkchute
