#pragma once

/** Clients of engines, plain services and the rating service. Does I/O on its own threads. */

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
