#pragma once

#include "../platform/PlatformAddress.h"

#include <chrono>
#include <optional>
#include <string>

namespace skylarkchute {

/** Returns the body of a successful GET, or nothing when no whole answer came in time. */
std::optional<std::string> HttpFetch(const SocketPlace& aPlace,
                                     const std::string& aPath,
                                     std::chrono::milliseconds aTimeout);

} // namespace skylarkchute
