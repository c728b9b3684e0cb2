#pragma once

#include "../parts/BundleHead.h"

#include <boost/leaf.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** The sender's bundle state, attached to every message between instances. */
struct PeerHead
{
  InstanceId mFrom;
  Generation mGeneration = 0;
  /** Time since the store last confirmed this generation, directly or through a peer; empty if it
      was not confirmed since the sender's start or last pause. @see BundleFollower::ConfirmedAge */
  std::optional<std::chrono::milliseconds> mConfirmedAge;
};

/** Requests a peer's generation, its head if newer than mKnownGeneration, and parts by hash. */
struct PeerPartsRequest
{
  std::uint64_t mId = 0; /**< Assigned by the requesting follower; returned in the answer. */
  InstanceId mTo;
  Generation mKnownGeneration = 0;
  std::vector<std::string> mHashes;
};

/** Answer to a PeerPartsRequest, with those of the parts that the peer has. */
struct PeerPartsAnswer
{
  std::uint64_t mId = 0;
  PeerHead mHead;
  std::string mHeadJson; /**< Empty unless the peer's generation is newer than mKnownGeneration. */
  std::vector<BundlePart> mParts;
};

/** Return a message as JSON text, without the recipient. */
std::string WritePartsRequest(const PeerPartsRequest& aRequest);
std::string WritePartsAnswer(const PeerPartsAnswer& aAnswer);

/** Parse a message from JSON text. Invalid text is an error of type Faults. */
boost::leaf::result<PeerPartsRequest> ReadPartsRequest(const std::string& aJson);
boost::leaf::result<PeerPartsAnswer> ReadPartsAnswer(const std::string& aJson);

} // namespace skylarkchute
