#pragma once

#include "LatencyBaseline.h"
#include "RelayRequest.h"

#include <optional>

namespace skylarkchute {

/** Estimate of the largest model's time to the first byte while no latency is known, such as after
    a restart of all instances: an engine's typical latency plus the prompt at its typical
    processing rate. */
constexpr std::chrono::milliseconds kDefaultLatency{ 60 };
constexpr std::uint64_t kDefaultTokensPerMs = 20;

inline std::chrono::milliseconds Until(TimePoint aThen, TimePoint aNow)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aThen - aNow);
}

/** Returns the requests whose latencies are comparable.
    @param aSize  index of the model, if the router chooses it */
LatencyKind LatencyKindOf(const RequestPlan& aPlan, const std::optional<std::size_t>& aSize);

} // namespace skylarkchute
