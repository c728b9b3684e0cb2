#pragma once

/** Composes routing, ledger, bundles and peers: one event in, actions out. */

#include "Node.h"
#include "events/NodeEvents.h"
#include "peers/PeerMethods.h"
