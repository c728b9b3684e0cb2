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

/** Status and body of an answer. */
struct HttpAnswer
{
  unsigned mStatus = 0;
  std::string mBody;
};

/** Makes a POST request with a JSON body.
    @param aTimeout  for connecting, and for each read and write
    @returns the answer with whatever status, or nothing on an error or a timeout */
std::optional<HttpAnswer> HttpPost(const HostPort& aHostPort,
                                   const std::string& aPath,
                                   const std::string& aBody,
                                   std::chrono::milliseconds aTimeout);

} // namespace skylarkchute
