#pragma once

#include "../state/NodePass.h"

namespace skylarkchute {

class RequestSystem;

/** Keeps the follower and the router in step and serves bundle parts to peers. */
class BundleSystem
{
public:
  BundleSystem(NodeParts& aParts, RequestSystem& aRequests);

  /** Carries out what the follower wants done. */
  void Take(const FollowerOutput& aOutput, NodePass& aPass);

  /** Takes in the reply to a request for parts.
      @param aMessage  nothing when the call failed */
  void PeerReplied(std::uint64_t aLocalId,
                   const std::optional<std::string>& aMessage,
                   NodePass& aPass);

  /** Answers a peer's request for parts, or nothing when it cannot be read. */
  std::optional<std::string> AnswerPartsRequest(const std::string& aMessage,
                                                const NodePass& aPass) const;

private:
  NodeParts& mParts;
  RequestSystem& mRequests;
};

} // namespace skylarkchute
