#pragma once

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <optional>
#include <string>

namespace skylarkchute {

/** A message between instances together with what its sender says of its bundle. */
struct PeerEnvelope
{
  PeerHead mHead;
  std::string mMessage; /**< JSON object text. */
};

/** Returns the JSON object text of an envelope. */
std::string WriteEnvelope(const PeerEnvelope& aEnvelope);

/** Returns the envelope in the text, or nothing when it is none.
    @param aFrom  the sender, as its signature proves */
std::optional<PeerEnvelope> ReadEnvelope(const InstanceId& aFrom, const std::string& aText);

} // namespace skylarkchute
