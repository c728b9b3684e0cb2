#include "RouteExplanation.h"

namespace skylarkchute {

std::string_view CandidateStepName(CandidateStep aStep)
{
  switch (aStep) {
    case CandidateStep::Open:
      return "closed";
    case CandidateStep::Region:
      return "region";
    case CandidateStep::Version:
      return "version";
    case CandidateStep::Busy:
      return "busy";
    case CandidateStep::Zone:
      return "zone";
    case CandidateStep::Room:
      return "full";
  }
  return "closed";
}

} // namespace skylarkchute
