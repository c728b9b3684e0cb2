#pragma once

#include "InstanceList.h"

namespace skylarkchute {

/** Reads the platform's instance list over HTTP. Not thread-safe. */
class InstanceListClient
{
public:
  /** @param aAddress  IP address of the platform */
  InstanceListClient(std::string aAddress, std::uint16_t aPort);

  /** Returns the list as soon as it is newer than position @p aAfter, or after @p aWait at the
      latest (long poll). Errors are of type Faults. */
  boost::leaf::result<InstanceList> Read(std::uint64_t aAfter, std::chrono::milliseconds aWait);

private:
  std::string mAddress;
  std::uint16_t mPort;
};

} // namespace skylarkchute
