#pragma once

#include <skylarkchute_endpoints/skylarkchute_endpoints.h>
#include <skylarkchute_entry/skylarkchute_entry.h>
#include <skylarkchute_node/skylarkchute_node.h>

namespace skylarkchute {

/** Builds the request that an attempt sends to its endpoint. The body is the caller's; in a model
    request its `model` field is replaced by the label of the chosen version. */
AttemptRequest BuildAttempt(const CallerRequest& aRequest, const DispatchAction& aAction);

} // namespace skylarkchute
