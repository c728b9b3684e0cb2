#pragma once

#include "PlatformAddress.h"

#include <boost/leaf.hpp>

#include <string>
#include <vector>

namespace skylarkchute {

/** Arguments of an operator command, with the platform option extracted. */
struct OperatorArguments
{
  HostPort mPlatform;
  std::vector<std::string> mRemaining; /**< All other arguments, in their order. */
};

/** Extracts `--platform ADDRESS:PORT` from the arguments. Falls back to the environment variable
    SKYLARKCHUTE_PLATFORM. With `--help` the platform may be missing. Errors are of type Faults. */
boost::leaf::result<OperatorArguments> ExtractPlatformOption(
  const std::vector<std::string>& aArguments);

} // namespace skylarkchute
