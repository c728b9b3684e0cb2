#pragma once

#include "../peers/PeerCallTable.h"
#include "../requests/RequestRecord.h"
#include "../stores/StoreCallTable.h"
#include "NodeOptions.h"

#include <skylarkchute_ledger/skylarkchute_ledger.h>
#include <skylarkchute_routing/skylarkchute_routing.h>

#include <unordered_map>
#include <vector>

namespace skylarkchute {

/** Every component and table of one node. The systems of the node share them. */
struct NodeParts
{
  explicit NodeParts(NodeOptions aOptions);

  NodeOptions mOptions;
  Router mRouter;
  BundleFollower mFollower;
  RegisterService mRegisters;
  ClaimDesk mClaims;
  PinDesk mPins;
  SessionTokens mTokens;
  TicketOffice mTickets;
  UsageLedger mUsage;
  StoreCallTable mStoreCalls;
  PeerCallTable mPeerCalls;
  std::unordered_map<RequestId, RequestRecord> mRequests;
  std::vector<UnconfirmedRequest> mUnconfirmed;
  bool mLeaving = false;
};

} // namespace skylarkchute
