#include "PeerState.h"

#include <poll.h>

namespace skylarkchute {

bool IsClosedByPeer(const Poco::Net::StreamSocket& aSocket)
{
  pollfd descriptor{ aSocket.impl()->sockfd(), POLLRDHUP, 0 };
  return ::poll(&descriptor, 1, 0) > 0 &&
         (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace skylarkchute
