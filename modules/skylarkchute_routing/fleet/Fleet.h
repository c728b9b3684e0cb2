#pragma once

/** Decisions on requests in front of a platform's own endpoints; used by the relay. */

#include "CrashSuspects.h"
#include "FleetRouter.h"
#include "FleetTable.h"
#include "ModelSizePolicy.h"
#include "PlacementPolicy.h"
#include "RelayConfig.h"
#include "RelayRequest.h"
#include "RolloutBook.h"
