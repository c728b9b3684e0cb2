#pragma once

#include "StatusReport.h"

namespace skylarkchute {

/** Returns whether a `/status` document is a relay's. */
bool IsRelayStatus(const Json::Value& aDocument);

/** Draws relays' `/status` documents as text for a terminal: a line for each instance, then
    endpoints, retry bound and rollouts as the first one that answered sees them. */
std::string RelayStatusText(const std::vector<InstanceStatus>& aInstances);

} // namespace skylarkchute
