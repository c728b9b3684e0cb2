#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace skylarkchute {

/** Reads `IP:PORT`. */
std::optional<boost::asio::ip::tcp::endpoint> ReadSocketAddress(const std::string& aText);

/** Prepares a connected socket: no delay of small writes, non-blocking, and an end within seconds
    when the other side falls silent, since a partition or a lost connection is not reported.
    Failures leave the system's defaults. */
void TuneSocket(boost::asio::ip::tcp::socket& aSocket);

} // namespace skylarkchute
