#pragma once

#include "StatusReport.h"

namespace skylarkchute {

/** Returns whether a `/status` document is a relay's. */
bool IsRelayStatus(const Json::Value& aDocument);

/** Formats the `/status` documents of relays as text for a terminal: a line for each instance, then
    endpoints, retry bound and rollouts as reported by the first instance that answered. */
std::string RelayStatusText(const std::vector<InstanceStatus>& aInstances);

} // namespace skylarkchute
