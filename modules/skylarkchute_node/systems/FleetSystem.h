#pragma once

#include "../state/EventContext.h"

namespace skylarkchute {

class KeySystem;
class LedgerSystem;

/** Keeps this instance's view of its peers and exchanges evidence, alerts and limits with them. */
class FleetSystem
{
public:
  FleetSystem(NodeParts& aParts, LedgerSystem& aLedger, KeySystem& aKeys);

  /** Applies the platform's list of entry instances. */
  void ApplyPeerList(const std::vector<PeerRecord>& aPeers, EventContext& aContext);

  /** Records that a peer has sent a message and is therefore alive. */
  void OnPeerMessage(const InstanceId& aFrom, EventContext& aContext);

  /** Updates the state of a peer by the outcome of any call to it. */
  void OnPeerCallEnded(const PeerReply& aReply, EventContext& aContext);

  /** Processes the outcome of a call that this system made.
      @param aReply  with the local id of the call and the message without its envelope */
  void PeerReplied(PeerPurpose aPurpose, const PeerReply& aReply, EventContext& aContext);

  /** Returns the answer to a peer's request, or std::nullopt if this system does not serve the
      method. */
  std::optional<std::string> Answer(const InstanceId& aFrom,
                                    const std::string& aMethod,
                                    const std::string& aMessage,
                                    EventContext& aContext);

  /** Applies the team limits of the bundle in force. */
  void ApplyBundle();

  /** Passes the router's evidence and alerts on to peers and rolls. */
  void ApplyReports(const RouterReports& aReports, EventContext& aContext);

  /** Notifies every live peer that this instance is leaving. */
  void SendGoodbyes(EventContext& aContext);

  /** Processes expired time limits and periodic exchanges. */
  void Tick(EventContext& aContext);

private:
  void DistributeMembers(EventContext& aContext);
  void ApplyOutput(const EvidenceOutput& aOutput, EventContext& aContext);
  void ApplyOutput(const AlertOutput& aOutput, EventContext& aContext);
  void ApplyOutput(const QuotaOutput& aOutput, EventContext& aContext);
  void AddCalls(PeerPurpose aPurpose, const std::vector<PeerCall>& aCalls, EventContext& aContext);

  NodeParts& mParts;
  LedgerSystem& mLedger;
  KeySystem& mKeys;
  std::uint64_t mDistributedGeneration = 0;
};

} // namespace skylarkchute
