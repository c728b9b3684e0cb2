#pragma once

/** Clients for the platform: object API, instance list, and the rate limiter of object calls. */

#include "budget/CallRateLimiter.h"
#include "events/PlatformEvents.h"
#include "instances/InstanceList.h"
#include "instances/InstanceListClient.h"
#include "objects/ObjectApiClient.h"
#include "objects/PlatformCaller.h"
