#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <cstdlib>
#include <string>

namespace skylarkchute {

inline constexpr const char* kPeerPath = "/rpc";
inline constexpr const char* kPeerFromHeader = "Skylark-Peer-From";
inline constexpr const char* kPeerTimeHeader = "Skylark-Peer-Time-Ms";
inline constexpr const char* kPeerSignatureHeader = "Skylark-Peer-Signature";

/** Formats a time as a header value: milliseconds since the epoch. */
inline std::string PeerTimeText(WallTime aAt)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aAt.time_since_epoch()).count());
}

/** Parses a header value written by PeerTimeText. Returns the epoch when it is not a number. */
inline WallTime ParsePeerTime(const std::string& aText)
{
  return WallTime(std::chrono::milliseconds(std::strtoll(aText.c_str(), nullptr, 10)));
}

} // namespace skylarkchute
