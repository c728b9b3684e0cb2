#pragma once

/** Admission, limits, version and endpoint choice, retries, breakers: the routing decisions. */

#include "Router.h"
#include "policy/cascade/CascadePolicy.h"
#include "policy/health/VersionBreaker.h"
#include "policy/health/VersionHealth.h"
#include "requests/AttemptOutcome.h"
#include "requests/RequestFacts.h"
#include "requests/RouterStep.h"
#include "tables/EndpointRecord.h"
