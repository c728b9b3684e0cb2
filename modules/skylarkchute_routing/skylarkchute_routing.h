#pragma once

/** Routing decisions: admission, limits, version and endpoint selection, retries and circuit
    breakers. */

#include "Router.h"
#include "events/RoutingEvents.h"
#include "policy/cascade/CascadePolicy.h"
#include "policy/health/VersionBreaker.h"
#include "policy/health/VersionHealth.h"
#include "requests/AttemptOutcome.h"
#include "requests/RequestFacts.h"
#include "requests/RouterOptions.h"
#include "requests/RouterStep.h"
#include "tables/EndpointRecord.h"
#include "tables/RouterCounters.h"
#include "tables/RouterReports.h"
