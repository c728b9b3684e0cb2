#pragma once

#include "../platform/PlatformAddress.h"

#include <chrono>
#include <optional>
#include <string>

namespace skylarkchute {

/** Makes a GET request.
    @param aTimeout  for connecting, and for each read and write
    @returns the body of an answer with status 200, or nothing on another status, an error or a
             timeout */
std::optional<std::string> HttpFetch(const HostPort& aHostPort,
                                     const std::string& aPath,
                                     std::chrono::milliseconds aTimeout);

} // namespace skylarkchute
