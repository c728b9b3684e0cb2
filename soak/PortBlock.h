#pragma once

#include <Poco/Net/ServerSocket.h>

#include <cstdint>

namespace skylarkchute::soak {

/** A block of ports of the loopback address that other soaks on this machine leave alone while it
    exists. It lies outside the range that the system gives to outgoing connections. */
class PortBlock
{
public:
  /** @throws std::runtime_error  if other soaks hold all blocks */
  PortBlock();

  /** Returns the next free port. Never returns one twice.
      @throws std::runtime_error  if none is left */
  std::uint16_t Next();

private:
  Poco::Net::ServerSocket mGuard; /**< Listens on the first port of the block. */
  std::uint16_t mLast = 0;        /**< The last port that was returned or in use. */
  std::uint16_t mEnd = 0;
};

} // namespace skylarkchute::soak
