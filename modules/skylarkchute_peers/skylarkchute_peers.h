#pragma once

/** What instances of the fleet say to each other: membership, evidence, alerts, quota shares. */

#include "PeerTypes.h"
#include "rpc/PeerClient.h"
#include "rpc/PeerServer.h"
#include "rpc/PeerSignature.h"
