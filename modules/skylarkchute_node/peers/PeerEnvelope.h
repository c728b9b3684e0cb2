#pragma once

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <optional>
#include <string>

namespace skylarkchute {

/** A message between instances, with the sender's bundle generation and the time since it
    was confirmed. */
struct PeerEnvelope
{
  PeerHead mHead;
  std::string mMessage; /**< JSON object text. */
};

/** Returns the envelope as JSON object text. */
std::string WriteEnvelope(const PeerEnvelope& aEnvelope);

/** Parses an envelope. Returns std::nullopt if the text is no JSON object with a message object.
    @param aFrom  the sender, as its signature proves */
std::optional<PeerEnvelope> ReadEnvelope(const InstanceId& aFrom, const std::string& aText);

} // namespace skylarkchute
