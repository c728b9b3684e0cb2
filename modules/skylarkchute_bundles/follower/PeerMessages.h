#pragma once

#include "../parts/BundleHead.h"

#include <boost/leaf.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** What every message between instances says of the sender's bundle. */
struct PeerHead
{
  InstanceId mFrom;
  Generation mGeneration = 0;
  /** How long ago the store last confirmed this generation, directly or through a peer; empty when
      it never did. @see BundleFollower::ConfirmedAge */
  std::optional<std::chrono::milliseconds> mConfirmedAge;
};

/** Asks a peer for its generation, for a newer head than the known one, and for parts. */
struct PeerPartsRequest
{
  std::uint64_t mId = 0; /**< Chosen by the asking follower; the answer carries it. */
  InstanceId mTo;
  Generation mKnownGeneration = 0;
  std::vector<std::string> mHashes;
};

/** Answers a PeerPartsRequest with what the peer holds. */
struct PeerPartsAnswer
{
  std::uint64_t mId = 0;
  PeerHead mHead;
  std::string mHeadJson; /**< Empty unless the peer's generation is above the known one. */
  std::vector<BundlePart> mParts;
};

/** Return the JSON object text of a message; the addressee is left out. */
std::string WritePartsRequest(const PeerPartsRequest& aRequest);
std::string WritePartsAnswer(const PeerPartsAnswer& aAnswer);

/** Read the JSON object text of a message. Text that is none is an error of type Faults. */
boost::leaf::result<PeerPartsRequest> ReadPartsRequest(const std::string& aJson);
boost::leaf::result<PeerPartsAnswer> ReadPartsAnswer(const std::string& aJson);

} // namespace skylarkchute
