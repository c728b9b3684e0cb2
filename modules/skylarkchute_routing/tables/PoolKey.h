#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <variant>

namespace skylarkchute {

/** A set of endpoints that can do the same work: those of a version, or of a plain service. */
using PoolKey = std::variant<VersionId, ServiceName>;

} // namespace skylarkchute
