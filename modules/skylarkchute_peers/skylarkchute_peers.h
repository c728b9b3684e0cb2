#pragma once

/** Communication between the instances of the fleet: membership, evidence aggregation, alerts and
    quota shares, and the signed JSON-RPC calls that carry them. */

#include "PeerTypes.h"
#include "alerts/AlertGossip.h"
#include "events/PeersEvents.h"
#include "evidence/EvidenceTree.h"
#include "following/ChangeSpread.h"
#include "following/StoreFollowing.h"
#include "membership/GossipMembership.h"
#include "membership/Membership.h"
#include "messages/Methods.h"
#include "messages/PeerGoodbye.h"
#include "quota/QuotaShares.h"
#include "rpc/PeerClient.h"
#include "rpc/PeerServer.h"
#include "rpc/PeerSignature.h"
