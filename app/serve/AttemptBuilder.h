#pragma once

#include <skylarkchute_endpoints/skylarkchute_endpoints.h>
#include <skylarkchute_entry/skylarkchute_entry.h>
#include <skylarkchute_node/skylarkchute_node.h>

namespace skylarkchute {

/** Returns the request to the endpoint for a dispatch: the caller's body with the model replaced by
    the label of the chosen version. */
AttemptRequest BuildAttempt(const CallerRequest& aRequest, const DispatchAction& aAction);

} // namespace skylarkchute
