#pragma once

#include <skylarkchute_entry/skylarkchute_entry.h>
#include <skylarkchute_node/skylarkchute_node.h>
#include <skylarkchute_platform/skylarkchute_platform.h>

namespace skylarkchute {

/** Returns the options of a node for a new life of the instance: its incarnation and secrets are
    drawn from the system's secure generator. */
NodeOptions NodeOptionsOf(const Settings& aSettings);

/** Returns the options of the entry for callers. */
EntryOptions EntryOptionsOf(const Settings& aSettings);

/** Returns the options of the caller of the object API. */
PlatformCaller::Options CallerOptionsOf(const Settings& aSettings);

/** Returns an endpoint of the instance list as the router knows it. */
EndpointRecord EndpointOf(const InstanceRecord& aRecord);

} // namespace skylarkchute
