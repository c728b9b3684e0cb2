#pragma once

#include <boost/leaf.hpp>
#include <skylarkchute_core/skylarkchute_core.h>

#include <cstdint>
#include <string>

namespace skylarkchute {

/** IP address and TCP port of a server. */
struct HostPort
{
  std::string mAddress;
  std::uint16_t mPort = 0;
};

/** Parses `ADDRESS:PORT`. Errors are of type Faults.
    @param aOption  name of the option, for the error message */
boost::leaf::result<HostPort> ParseHostPort(const std::string& aOption, const std::string& aText);

} // namespace skylarkchute
