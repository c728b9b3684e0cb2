#pragma once

#include "PlatformAddress.h"

#include <boost/leaf.hpp>

#include <string>
#include <vector>

namespace skylarkchute {

/** What an operator command is told besides its own arguments. */
struct OperatorArguments
{
  SocketPlace mPlatform;
  std::vector<std::string> mRest; /**< Everything else, in order. */
};

/** Takes `--platform ADDRESS:PORT` out of the arguments; without it the variable
    SKYLARKCHUTE_PLATFORM counts. With
    `--help` no platform is needed. Errors are of type Faults. */
boost::leaf::result<OperatorArguments> TakePlatformOption(
  const std::vector<std::string>& aArguments);

} // namespace skylarkchute
