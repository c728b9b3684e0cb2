#pragma once

/** What instances of the fleet say to each other: membership, evidence, alerts, quota shares. */

#include "PeerTypes.h"
