#pragma once

/** Clients for engines, plain services (which serve no model) and the rating service. AttemptRunner
    and LoadPoller do their I/O on their own threads; the other clients block the calling thread. */

#include "attempts/AttemptRequest.h"
#include "attempts/AttemptResult.h"
#include "attempts/AttemptRunner.h"
#include "attempts/EndpointClient.h"
#include "connections/JsonExchange.h"
#include "events/EndpointsEvents.h"
#include "load/LoadClient.h"
#include "load/LoadPoller.h"
#include "orders/OrderClient.h"
#include "ratings/RatingClient.h"
#include "streams/StreamAssembler.h"
#include "streams/StreamChunk.h"
#include "json/JsonObject.h"
