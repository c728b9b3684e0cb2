#include "SocketOptions.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace skylarkchute {

namespace {

/** Idle time before the first TCP keep-alive probe, and the interval between probes. */
constexpr std::chrono::seconds kKeepAliveInterval{ 1 };
constexpr int kKeepAliveProbes = 2;

void SetOption(int aSocket, int aLevel, int aName, int aValue)
{
  ::setsockopt(aSocket, aLevel, aName, &aValue, sizeof(aValue));
}

} // namespace

std::optional<boost::asio::ip::tcp::endpoint> ParseSocketAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(aText.substr(0, colon), ec);
  std::uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data() + colon + 1, end, port);
  if (ec || read.ec != std::errc() || read.ptr != end) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(address, port);
}

void ConfigureSocket(boost::asio::ip::tcp::socket& aSocket, std::chrono::milliseconds aUserTimeout)
{
  boost::system::error_code ec;
  aSocket.non_blocking(true, ec);
  const int socket = aSocket.native_handle();
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(kKeepAliveInterval.count()));
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(kKeepAliveInterval.count()));
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(aUserTimeout.count()));
}

bool HasPeerClosed(boost::asio::ip::tcp::socket& aSocket)
{
  pollfd query{ aSocket.native_handle(), POLLRDHUP, 0 };
  constexpr int kNoWait = 0;
  return ::poll(&query, 1, kNoWait) > 0 && (query.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace skylarkchute
