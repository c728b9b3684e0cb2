#pragma once

/** What instances of the fleet say to each other: membership, evidence, alerts, quota shares. */

#include "PeerTypes.h"
#include "alerts/AlertSpreader.h"
#include "events/PeersEvents.h"
#include "evidence/EvidenceTree.h"
#include "membership/Membership.h"
#include "messages/Methods.h"
#include "messages/PeerGoodbye.h"
#include "quota/QuotaShares.h"
#include "rpc/PeerClient.h"
#include "rpc/PeerServer.h"
#include "rpc/PeerSignature.h"
