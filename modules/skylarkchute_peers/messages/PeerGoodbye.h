#pragma once

#include "../PeerTypes.h"

#include <optional>

namespace skylarkchute {

/** Peer message `peer.goodbye`: the sender is shutting down and accepts no more work from peers. */
struct PeerGoodbye
{
  InstanceId mFrom;
};

/** Encodes a message as JSON object text. */
std::string EncodePeerGoodbye(const PeerGoodbye& aMessage);

/** Decodes a message. Returns nothing when @p aText is invalid. */
std::optional<PeerGoodbye> DecodePeerGoodbye(const std::string& aText);

} // namespace skylarkchute
