#pragma once

#include "../store/StoreMirror.h"

#include <skylarkchute_routing/fleet/Fleet.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** Identifies the state of an instance's copy of the objects of a kind. */
struct KindState
{
  std::uint64_t mAsOf = 0;   /**< Store revision up to which the kind is known. */
  std::uint64_t mDigest = 0; /**< Hash of names and revisions. @see StoreMirror::Digest */
};

/** The message that two instances exchange in one call; request and response have the same form. */
struct PeerExchange
{
  InstanceEntry mFrom;
  std::map<ObjectKind, KindState> mKinds;
  std::map<ObjectKind, KindSnapshot> mSnapshots; /**< Kinds on which the receiver is behind. */
  std::vector<RolloutEvidence> mEvidence;
  std::vector<CrashSuspects::Crash> mCrashes;
};

/** Returns the exchange as the text of a JSON object. */
std::string EncodeExchange(const PeerExchange& aExchange);

/** Parses an exchange.
    @returns nothing when the text is not a JSON object or has no sender; other fields that are not
             valid are skipped */
std::optional<PeerExchange> DecodeExchange(const std::string& aText);

} // namespace skylarkchute
