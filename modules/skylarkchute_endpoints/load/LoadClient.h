#pragma once

#include <skylarkchute_routing/tables/EndpointRecord.h>

#include <chrono>
#include <optional>

namespace skylarkchute {

/** Requests the load report of one endpoint. Blocks the calling thread for at most @p aTimeout.
    @returns nothing if no valid report arrived in time */
std::optional<LoadReport> PollLoad(const EndpointRecord& aEndpoint,
                                   std::chrono::milliseconds aTimeout);

} // namespace skylarkchute
