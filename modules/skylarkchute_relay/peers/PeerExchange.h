#pragma once

#include "PackedChanges.h"

#include <skylarkchute_peers/membership/GossipTypes.h>
#include <skylarkchute_routing/fleet/Fleet.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** Identifies the state of an instance's copy of the objects of a kind. */
struct KindState
{
  StoreVersion mAsOf = 0;    /**< State of the store up to which the kind is known. */
  std::uint64_t mDigest = 0; /**< Hash of names and revisions. @see StoreMirror::Digest */
  /** Configuration: version in force, which may be newer than the object's. Endpoints: hash of the
      departures. @see DepartureExchange */
  std::uint64_t mInForce = 0;
};

/** What an instance last reported of its copies of the objects. */
using KnownKinds = std::map<ObjectKind, KindState>;

/** The message that two instances exchange in one call; request and response have the same form. */
struct PeerExchange
{
  MembershipMessage mMembership;
  /** Time since a follower was last known to hold the store's current state; nothing if unknown. */
  std::optional<std::chrono::milliseconds> mConfirmationAge;
  std::map<ObjectKind, KindState> mKinds;
  /** What the receiver lacks. Shared, since many receivers lack the same. */
  std::map<ObjectKind, std::shared_ptr<const PackedChanges>> mChanges;
  /** The configuration in force, if that of the receiver is older; may be null. */
  std::shared_ptr<const PackedChanges> mConfigInForce;
  /** Name of a member that did not answer the sender; the receiver is asked to reach it. */
  std::string mProbe;
  std::vector<std::string> mReached; /**< Members that the sender has reached for the receiver. */
  std::string mForwardAddress;       /**< For requests forwarded to the sender; empty for none. */
  bool mIsPartitioned = false;       /**< The sender does not reach the endpoints itself. */
  std::vector<EndpointDeparture> mDepartures;
  std::vector<RolloutEvidence> mEvidence;
  std::vector<CrashSuspects::Crash> mCrashes;
  PromptPartSuspects::Report mPartReport;
  std::vector<RelayedLoad> mLoads; /**< Load reports. @see LoadExchange */
};

/** Returns the exchange as the text of a JSON object. */
std::string EncodeExchange(const PeerExchange& aExchange);

/** Parses an exchange.
    @returns nothing when the text is not a JSON object or has no sender; other fields that are not
             valid are skipped */
std::optional<PeerExchange> DecodeExchange(const std::string& aText);

} // namespace skylarkchute
