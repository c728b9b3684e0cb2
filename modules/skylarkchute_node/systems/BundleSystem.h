#pragma once

#include "../state/EventContext.h"

namespace skylarkchute {

class FleetSystem;
class RequestSystem;
class RollSystem;

/** Keeps the follower and the router in step and serves bundle parts to peers. */
class BundleSystem
{
public:
  BundleSystem(NodeParts& aParts,
               RequestSystem& aRequests,
               RollSystem& aRolls,
               FleetSystem& aFleet);

  /** Carries out what the follower wants done. */
  void ApplyOutput(const FollowerOutput& aOutput, EventContext& aContext);

  /** Takes in the reply to a request for parts.
      @param aMessage  nothing when the call failed */
  void PeerReplied(std::uint64_t aLocalId,
                   const std::optional<std::string>& aMessage,
                   EventContext& aContext);

  /** Answers a peer's request for parts, or nothing when it cannot be read. */
  std::optional<std::string> AnswerPartsRequest(const std::string& aMessage,
                                                const EventContext& aContext) const;

private:
  NodeParts& mParts;
  RequestSystem& mRequests;
  RollSystem& mRolls;
  FleetSystem& mFleet;
};

} // namespace skylarkchute
