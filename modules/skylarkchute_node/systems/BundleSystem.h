#pragma once

#include "../state/EventContext.h"

namespace skylarkchute {

class FleetSystem;
class RequestSystem;
class RollSystem;

/** Connects the bundle follower with the store, peers and router: carries out the follower's calls,
    applies each new bundle, and serves bundle parts to peers. */
class BundleSystem
{
public:
  BundleSystem(NodeParts& aParts,
               RequestSystem& aRequests,
               RollSystem& aRolls,
               FleetSystem& aFleet);

  /** Carries out the calls of the follower and, if the bundle has changed, applies the new one. */
  void ApplyOutput(const FollowerOutput& aOutput, EventContext& aContext);

  /** Processes the reply to a request for bundle parts.
      @param aMessage  std::nullopt if the call failed */
  void PeerReplied(std::uint64_t aLocalId,
                   const std::optional<std::string>& aMessage,
                   EventContext& aContext);

  /** Returns the answer to a peer's request for bundle parts, or std::nullopt if the request cannot
      be read. */
  std::optional<std::string> AnswerPartsRequest(const std::string& aMessage,
                                                const EventContext& aContext) const;

private:
  NodeParts& mParts;
  RequestSystem& mRequests;
  RollSystem& mRolls;
  FleetSystem& mFleet;
};

} // namespace skylarkchute
