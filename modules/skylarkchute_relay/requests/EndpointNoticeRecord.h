#pragma once

#include "RelayContext.h"

#include <platform/RequestCodec.h>

#include <string>

namespace skylarkchute {

/** Records what the endpoint of an attempt says of itself, and logs what has changed. An answer of
    another endpoint at its address says nothing of it, and one that is not valid does not withdraw
    what it said before.
    @param aId  of the request */
void RecordEndpointNotice(RelayContext& aContext,
                          const AttemptPlan& aAttempt,
                          const EndpointHead& aHead,
                          const std::string& aId);

} // namespace skylarkchute
