#pragma once

#include <Poco/Net/StreamSocket.h>

namespace skylarkchute {

/** Returns whether the peer has closed the connection. A peer that has shut down only its sending
    side counts as disconnected. */
bool IsClosedByPeer(const Poco::Net::StreamSocket& aSocket);

} // namespace skylarkchute
