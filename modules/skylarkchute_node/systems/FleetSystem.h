#pragma once

#include "../state/NodePass.h"

namespace skylarkchute {

class KeySystem;
class LedgerSystem;

/** Keeps this instance's view of its peers and exchanges evidence, alerts and limits with them. */
class FleetSystem
{
public:
  FleetSystem(NodeParts& aParts, LedgerSystem& aLedger, KeySystem& aKeys);

  /** Takes in the platform's list of entry instances. */
  void ApplyList(const std::vector<PeerRecord>& aPeers, NodePass& aPass);

  /** Takes in that a peer sent a message. */
  void Heard(const InstanceId& aFrom, NodePass& aPass);

  /** Takes in the outcome of any call to a peer. */
  void Observe(const PeerReply& aReply, NodePass& aPass);

  /** Takes in the outcome of a call of this system.
      @param aReply  with the local id and the message without its envelope */
  void PeerReplied(PeerPurpose aPurpose, const PeerReply& aReply, NodePass& aPass);

  /** Serves a message of this system; nothing when the method belongs to another. */
  std::optional<std::string> Answer(const InstanceId& aFrom,
                                    const std::string& aMethod,
                                    const std::string& aMessage,
                                    NodePass& aPass);

  /** Takes in the limits of the bundle in force. */
  void ApplyBundle();

  /** Passes on what the router reports. */
  void TakeReports(const RouterReports& aReports, NodePass& aPass);

  /** Tells every peer that this instance leaves. */
  void SayGoodbye(NodePass& aPass);

  /** Drives periods. */
  void Tick(NodePass& aPass);

private:
  void SpreadMembers(NodePass& aPass);
  void Take(const EvidenceOutput& aOutput, NodePass& aPass);
  void Take(const AlertOutput& aOutput, NodePass& aPass);
  void Take(const QuotaOutput& aOutput, NodePass& aPass);
  void AddCalls(PeerPurpose aPurpose, const std::vector<PeerCall>& aCalls, NodePass& aPass);

  NodeParts& mParts;
  LedgerSystem& mLedger;
  KeySystem& mKeys;
  std::uint64_t mSpreadGeneration = 0;
};

} // namespace skylarkchute
