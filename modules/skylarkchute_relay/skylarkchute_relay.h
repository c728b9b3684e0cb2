#pragma once

/** The event-driven data path in front of the platform's endpoints: callers, endpoints, the
    platform's store and other instances on one loop. */

#include "events/RelayEvents.h"
#include "runtime/RelayRuntime.h"
#include "runtime/RelaySettings.h"
