#pragma once

/** The decision logic of an entry instance: connects routing, ledger, bundles and peers, and turns
    each event into actions. */

#include "Node.h"
#include "events/NodeEvents.h"
#include "peers/PeerMethods.h"
