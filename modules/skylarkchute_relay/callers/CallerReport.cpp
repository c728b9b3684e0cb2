#include "CallerReport.h"

#include "../events/RelayEvents.h"

#include <array>
#include <utility>

namespace skylarkchute {

void CallerReport::Write(CallerBudget& aBudget, const std::string& aAddress)
{
  const auto label = "address=\"" + aAddress + "\"";
  mMetrics.Set("skylarkchute_caller_bytes", label, static_cast<double>(aBudget.Bytes()));
  mMetrics.Set(
    "skylarkchute_caller_connections", label, static_cast<double>(aBudget.Connections()));
  const auto counts = aBudget.TakeCounts();
  const std::array<std::pair<const EventDescription*, std::uint64_t>, 6> events{
    { { &kCallersGaveWay, counts.mGaveWay },
      { &kCallersRefused, counts.mRefusedRequests },
      { &kCallersEnded, counts.mEndedForNew },
      { &kConnectionsTurnedAway, counts.mRefusedConnections },
      { &kBodiesTooSlow, counts.mSlowBodies },
      { &kHeadersTooMany, counts.mManyLines } }
  };
  for (const auto& [event, count] : events) {
    if (count == 0) {
      continue;
    }
    mMetrics.Add("skylarkchute_callers_ended_total",
                 label + ",event=\"" + std::string(event->mName) + "\"",
                 static_cast<double>(count));
    mLog.Write({ event,
                 { { "address", aAddress },
                   { "count", std::to_string(count) },
                   { "bytes", std::to_string(aBudget.Bytes()) } } });
  }
}

} // namespace skylarkchute
