#pragma once

#include "../state/EventContext.h"

namespace skylarkchute {

class RequestSystem;

/** Connects claims, session pins and usage records with the registers, peers and object API that
    store them. */
class LedgerSystem
{
public:
  explicit LedgerSystem(NodeParts& aParts);

  /** Connects the system that receives the answers. Call before anything else. */
  void Connect(RequestSystem& aRequests) { mRequests = &aRequests; }

  /** Carry out the calls of a component and pass its answers to RequestSystem. */
  void ApplyOutput(const ClaimOutput& aOutput, EventContext& aContext);
  void ApplyOutput(const PinOutput& aOutput, EventContext& aContext);
  void ApplyOutput(const RegisterServiceOutput& aOutput, EventContext& aContext);
  void ApplyOutput(const UsageOutput& aOutput, EventContext& aContext);

  /** Processes the reply to a peer call that this system made.
      @param aMessage  std::nullopt if the call failed */
  void PeerReplied(const PeerCallTable::Origin& aOrigin,
                   Verdict aVerdict,
                   const std::optional<std::string>& aMessage,
                   EventContext& aContext);

  /** Returns the answer to a peer's status query about a claim of this incarnation; an empty report
      if the query cannot be parsed or names another incarnation. */
  std::string AnswerClaimStatusQuery(const std::string& aMessage) const;

  /** Sets the live entry instances. Those that are leaving get no registers and no backups. */
  void SetPeers(const std::vector<PeerRecord>& aPeers, EventContext& aContext);

  /** Processes expired time limits. */
  void Tick(EventContext& aContext);

private:
  void Submit(const std::vector<RegisterRequest>& aRequests, EventContext& aContext);

  NodeParts& mParts;
  RequestSystem* mRequests = nullptr;
};

} // namespace skylarkchute
