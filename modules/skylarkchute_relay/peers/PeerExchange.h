#pragma once

#include "../store/StoreMirror.h"

#include <skylarkchute_routing/fleet/Fleet.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** What one instance knows of a kind. */
struct KindState
{
  std::uint64_t mAsOf = 0;
  std::uint64_t mDigest = 0;
};

/** What two instances tell each other in one call, in either direction. */
struct PeerExchange
{
  InstanceEntry mFrom;
  std::map<ObjectKind, KindState> mKinds;
  std::map<ObjectKind, KindSnapshot> mSnapshots; /**< Of kinds on which the other one is behind. */
  std::vector<RolloutEvidence> mEvidence;
  std::vector<CrashSuspects::Crash> mCrashes;
};

/** Returns the exchange as JSON object text. */
std::string EncodeExchange(const PeerExchange& aExchange);

/** Reads an exchange, or nothing when it is not one. */
std::optional<PeerExchange> DecodeExchange(const std::string& aText);

} // namespace skylarkchute
