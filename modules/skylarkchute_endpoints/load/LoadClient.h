#pragma once

#include <skylarkchute_routing/tables/EndpointRecord.h>

#include <chrono>
#include <optional>

namespace skylarkchute {

/** Asks one endpoint for its load. Blocks its thread.
    @returns nothing when the endpoint gave no usable report in time */
std::optional<LoadReport> PollLoad(const EndpointRecord& aEndpoint,
                                   std::chrono::milliseconds aTimeout);

} // namespace skylarkchute
