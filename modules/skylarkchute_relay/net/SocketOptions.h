#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace skylarkchute {

/** Parses `IP:PORT`.
    @returns nothing when the text is not valid; host names are not resolved */
std::optional<boost::asio::ip::tcp::endpoint> ParseSocketAddress(const std::string& aText);

/** A peer that acknowledges nothing for this long is taken for lost. */
inline constexpr std::chrono::milliseconds kUserTimeout{ 2500 };

/** Sets the options of a connected socket: non-blocking, TCP_NODELAY, and keep-alive and user
    timeouts that close the connection within seconds when the peer stops responding, because TCP
    does not report a network partition or a vanished peer by itself. An option that cannot be set
    keeps the system's default.
    @param aUserTimeout  the connection is closed when sent bytes are not acknowledged, or cannot be
                         sent because the peer does not read, for this long */
void ConfigureSocket(boost::asio::ip::tcp::socket& aSocket,
                     std::chrono::milliseconds aUserTimeout = kUserTimeout);

/** Returns whether the peer has closed or reset the connection, also while bytes that it sent
    before are unread. False when the system cannot tell. */
bool HasPeerClosed(boost::asio::ip::tcp::socket& aSocket);

} // namespace skylarkchute
