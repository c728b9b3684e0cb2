#pragma once

/** The relay: an event-driven proxy in front of the platform's endpoints. Connections to callers,
    endpoints, the platform's store and other instances run on one event loop. */

#include "events/RelayEvents.h"
#include "runtime/RelayRuntime.h"
#include "runtime/RelaySettings.h"
