#pragma once

#include "../state/EventContext.h"

namespace skylarkchute {

class RequestSystem;

/** Connects claims, pins and usage records with registers, peers and the object API. */
class LedgerSystem
{
public:
  explicit LedgerSystem(NodeParts& aParts);

  /** Connects the system that gets the answers. Call before anything else. */
  void Connect(RequestSystem& aRequests) { mRequests = &aRequests; }

  /** Carry out what a component wants done. */
  void ApplyOutput(const ClaimOutput& aOutput, EventContext& aContext);
  void ApplyOutput(const PinOutput& aOutput, EventContext& aContext);
  void ApplyOutput(const RegisterServiceOutput& aOutput, EventContext& aContext);
  void ApplyOutput(const UsageOutput& aOutput, EventContext& aContext);

  /** Takes in the reply to a peer call of this system.
      @param aMessage  nothing when the call failed */
  void PeerReplied(const PeerCallTable::Origin& aOrigin,
                   Verdict aVerdict,
                   const std::optional<std::string>& aMessage,
                   EventContext& aContext);

  /** Answers a peer's question about a claim. */
  std::string AnswerClaimQuestion(const std::string& aMessage) const;

  /** Takes in the live entry instances. */
  void SetPeers(const std::vector<PeerRecord>& aPeers, EventContext& aContext);

  /** Drives time limits. */
  void Tick(EventContext& aContext);

private:
  void Submit(const std::vector<RegisterRequest>& aRequests, EventContext& aContext);

  NodeParts& mParts;
  RequestSystem* mRequests = nullptr;
};

} // namespace skylarkchute
