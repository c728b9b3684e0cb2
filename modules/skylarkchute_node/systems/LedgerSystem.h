#pragma once

#include "../state/NodePass.h"

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
  void Take(const ClaimOutput& aOutput, NodePass& aPass);
  void Take(const PinOutput& aOutput, NodePass& aPass);
  void Take(const RegisterServiceOutput& aOutput, NodePass& aPass);
  void Take(const UsageOutput& aOutput, NodePass& aPass);

  /** Takes in the reply to a peer call of this system.
      @param aMessage  nothing when the call failed */
  void PeerReplied(const PeerCallTable::Origin& aOrigin,
                   Verdict aVerdict,
                   const std::optional<std::string>& aMessage,
                   NodePass& aPass);

  /** Answers a peer's question about a claim. */
  std::string AnswerClaimQuestion(const std::string& aMessage) const;

  /** Takes in the live entry instances. */
  void SetPeers(const std::vector<PeerRecord>& aPeers, NodePass& aPass);

  /** Drives time limits. */
  void Tick(NodePass& aPass);

private:
  void Submit(const std::vector<RegisterRequest>& aRequests, NodePass& aPass);

  NodeParts& mParts;
  RequestSystem* mRequests = nullptr;
};

} // namespace skylarkchute
