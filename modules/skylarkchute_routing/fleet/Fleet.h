#pragma once

/** Routing decisions of the relay for requests to a platform's own endpoints. */

#include "CrashSuspects.h"
#include "EndpointLimitShares.h"
#include "FleetRouter.h"
#include "FleetTable.h"
#include "LoadDigest.h"
#include "ModelChoice.h"
#include "ModelSizePolicy.h"
#include "PlacementPolicy.h"
#include "PromptPartSuspects.h"
#include "RelayConfig.h"
#include "RelayRequest.h"
#include "RolloutTracker.h"
#include "RouteExplainer.h"
#include "ZoneReachability.h"
