#include "RelayRequest.h"

namespace skylarkchute {

std::string_view RefusalReasonName(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::NoConfiguration:
      return "no-configuration";
    case RefusalReason::NoRoute:
      return "no-route";
    case RefusalReason::NoKey:
      return "no-key";
    case RefusalReason::CrashesEndpoints:
      return "crashes-endpoints";
    case RefusalReason::Leaving:
      return "leaving";
    case RefusalReason::NoEndpoint:
      return "no-endpoint";
    case RefusalReason::EndpointsLimited:
      return "endpoints-limited";
    case RefusalReason::Overloaded:
      return "overloaded";
    case RefusalReason::BudgetSpent:
      return "budget-spent";
    case RefusalReason::DeadlinePassed:
      return "deadline-passed";
  }
  return "no-endpoint";
}

std::string_view RelayOutcomeName(RelayOutcome aOutcome)
{
  switch (aOutcome) {
    case RelayOutcome::Answered:
      return "answered";
    case RelayOutcome::Superseded:
      return "superseded";
    case RelayOutcome::Overtaken:
      return "overtaken";
    case RelayOutcome::Failed:
      return "failed";
    case RelayOutcome::NotRun:
      return "not-run";
    case RelayOutcome::Misdirected:
      return "misdirected";
    case RelayOutcome::Unreachable:
      return "unreachable";
    case RelayOutcome::Lost:
      return "lost";
    case RelayOutcome::Damaged:
      return "damaged";
    case RelayOutcome::TimedOut:
      return "timed-out";
    case RelayOutcome::Abandoned:
      return "abandoned";
  }
  return "lost";
}

bool MayHaveRun(RelayOutcome aOutcome)
{
  return aOutcome != RelayOutcome::NotRun && aOutcome != RelayOutcome::Misdirected &&
         aOutcome != RelayOutcome::Unreachable;
}

bool IsFailure(RelayOutcome aOutcome)
{
  return aOutcome != RelayOutcome::Answered && aOutcome != RelayOutcome::Superseded &&
         aOutcome != RelayOutcome::Overtaken && aOutcome != RelayOutcome::Abandoned;
}

} // namespace skylarkchute
