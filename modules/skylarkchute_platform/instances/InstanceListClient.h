#pragma once

#include "InstanceList.h"

namespace skylarkchute {

/** Reads the platform's instance list over HTTP. One thread uses it. */
class InstanceListClient
{
public:
  /** @param aAddress  IP number of the platform */
  InstanceListClient(std::string aAddress, std::uint16_t aPort);

  /** Waits for a list newer than @p aAfter for at most @p aWait, then returns the list. Errors are
      of type Faults. */
  boost::leaf::result<InstanceList> Read(std::uint64_t aAfter, std::chrono::milliseconds aWait);

private:
  std::string mAddress;
  std::uint16_t mPort;
};

} // namespace skylarkchute
