#pragma once

#include "../PeerTypes.h"

#include <optional>

namespace skylarkchute {

/** Peer message `peer.goodbye`: the sender is leaving and takes no more work from peers. */
struct PeerGoodbye
{
  InstanceId mFrom;
};

/** Returns JSON object text. */
std::string EncodePeerGoodbye(const PeerGoodbye& aMessage);

/** Returns the message in the text, or nothing when it cannot be read. */
std::optional<PeerGoodbye> DecodePeerGoodbye(const std::string& aText);

} // namespace skylarkchute
