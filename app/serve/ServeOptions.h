#pragma once

#include <skylarkchute_entry/skylarkchute_entry.h>
#include <skylarkchute_node/skylarkchute_node.h>
#include <skylarkchute_platform/skylarkchute_platform.h>

namespace skylarkchute {

/** Returns the options of a node for one start of the instance. Each call generates a new
    incarnation and new secrets with the system's secure random generator. */
NodeOptions NodeOptionsOf(const Settings& aSettings);

/** Returns the options of the HTTP server for callers. */
EntryOptions EntryOptionsOf(const Settings& aSettings);

/** Returns the options of the client of the platform's object API. */
PlatformCaller::Options PlatformCallerOptionsOf(const Settings& aSettings);

/** Converts an entry of the instance list into the router's endpoint record. */
EndpointRecord EndpointOf(const InstanceRecord& aRecord);

} // namespace skylarkchute
