#pragma once

#include <boost/leaf.hpp>
#include <skylarkchute_core/skylarkchute_core.h>

#include <cstdint>
#include <string>

namespace skylarkchute {

/** IP number and port of a server. */
struct SocketPlace
{
  std::string mAddress;
  std::uint16_t mPort = 0;
};

/** Reads `ADDRESS:PORT`. Errors are of type Faults.
    @param aOption  named in the error */
boost::leaf::result<SocketPlace> ParsePlace(const std::string& aOption, const std::string& aText);

} // namespace skylarkchute
