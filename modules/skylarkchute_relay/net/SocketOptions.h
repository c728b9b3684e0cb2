#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace skylarkchute {

/** Parses `IP:PORT`.
    @returns nothing when the text is not valid; host names are not resolved */
std::optional<boost::asio::ip::tcp::endpoint> ParseSocketAddress(const std::string& aText);

/** Sets the options of a connected socket: non-blocking, TCP_NODELAY, and keep-alive and user
    timeouts that close the connection within seconds when the peer stops responding, because TCP
    does not report a network partition or a vanished peer by itself. An option that cannot be set
    keeps the system's default. */
void ConfigureSocket(boost::asio::ip::tcp::socket& aSocket);

/** Returns whether the peer has closed or reset the connection, also while bytes that it sent
    before are unread. False when the system cannot tell. */
bool HasPeerClosed(boost::asio::ip::tcp::socket& aSocket);

} // namespace skylarkchute
