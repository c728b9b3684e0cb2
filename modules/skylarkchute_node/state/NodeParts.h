#pragma once

#include "../peers/PeerCallTable.h"
#include "../requests/RequestRecord.h"
#include "../stores/StoreCallTable.h"
#include "NodeOptions.h"

#include <skylarkchute_ledger/skylarkchute_ledger.h>
#include <skylarkchute_peers/skylarkchute_peers.h>
#include <skylarkchute_routing/skylarkchute_routing.h>

#include <unordered_map>
#include <vector>

namespace skylarkchute {

/** The components and tables of one node, shared by its systems. */
struct NodeParts
{
  explicit NodeParts(NodeOptions aOptions);

  NodeOptions mOptions;
  Router mRouter;
  BundleFollower mFollower;
  RegisterService mRegisters;
  ClaimManager mClaims;
  PinManager mPins;
  SessionTokens mTokens;
  TicketIssuer mTickets;
  UsageLedger mUsage;
  RollDriver mRolls;
  Membership mMembership;
  EvidenceTree mEvidence;
  AlertGossip mAlerts;
  QuotaShares mQuota;
  StoreCallTable mStoreCalls;
  PeerCallTable mPeerCalls;
  std::unordered_map<RequestId, RequestRecord> mRequests;
  std::vector<UnconfirmedRequest> mUnconfirmed;
  bool mLeaving = false;
};

} // namespace skylarkchute
