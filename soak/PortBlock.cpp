#include "PortBlock.h"

#include <Poco/Exception.h>

#include <optional>
#include <stdexcept>

namespace skylarkchute::soak {

namespace {

constexpr std::uint16_t kFirstPort = 20000;
constexpr std::uint16_t kBlocks = 12;
constexpr std::uint16_t kBlockSize = 1000;

/** Listens on a port. @returns nothing if it is in use */
std::optional<Poco::Net::ServerSocket> Bind(std::uint16_t aPort)
{
  try {
    Poco::Net::ServerSocket socket;
    constexpr bool kSharesPort = false; // Otherwise a port in use could be bound again.
    socket.bind(Poco::Net::SocketAddress("127.0.0.1", aPort), true, kSharesPort);
    socket.listen();
    return socket;
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

} // namespace

PortBlock::PortBlock()
{
  for (std::uint16_t n = 0; n < kBlocks; ++n) {
    const auto first = static_cast<std::uint16_t>(kFirstPort + n * kBlockSize);
    if (auto guard = Bind(first)) {
      mGuard = *guard;
      mLast = first;
      mEnd = static_cast<std::uint16_t>(first + kBlockSize);
      return;
    }
  }
  throw std::runtime_error("no block of ports is free; are many soaks running?");
}

std::uint16_t PortBlock::Next()
{
  while (++mLast < mEnd) {
    if (Bind(mLast)) {
      return mLast;
    }
  }
  throw std::runtime_error("no port is left");
}

} // namespace skylarkchute::soak
