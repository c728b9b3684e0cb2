#pragma once

#include <Poco/Net/StreamSocket.h>

namespace skylarkchute {

/** Returns whether the peer has closed its side of a connection. A peer that closes only the side
    that it sends on counts as gone. */
bool IsClosedByPeer(const Poco::Net::StreamSocket& aSocket);

} // namespace skylarkchute
