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

  /** Takes in the platform's list of entry instances. */
  void ApplyPeerList(const std::vector<PeerRecord>& aPeers, EventContext& aContext);

  /** Takes in that a peer sent a message. */
  void OnPeerMessage(const InstanceId& aFrom, EventContext& aContext);

  /** Takes in the outcome of any call to a peer. */
  void OnPeerCallEnded(const PeerReply& aReply, EventContext& aContext);

  /** Takes in the outcome of a call of this system.
      @param aReply  with the local id and the message without its envelope */
  void PeerReplied(PeerPurpose aPurpose, const PeerReply& aReply, EventContext& aContext);

  /** Serves a message of this system; nothing when the method belongs to another. */
  std::optional<std::string> Answer(const InstanceId& aFrom,
                                    const std::string& aMethod,
                                    const std::string& aMessage,
                                    EventContext& aContext);

  /** Takes in the limits of the bundle in force. */
  void ApplyBundle();

  /** Passes on what the router reports. */
  void ApplyReports(const RouterReports& aReports, EventContext& aContext);

  /** Tells every peer that this instance leaves. */
  void SendGoodbyes(EventContext& aContext);

  /** Drives periods. */
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
