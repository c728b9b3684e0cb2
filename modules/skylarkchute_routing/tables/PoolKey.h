#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <variant>

namespace skylarkchute {

/** Identifies a pool: the interchangeable endpoints of a version or of a plain service. */
using PoolKey = std::variant<VersionId, ServiceName>;

} // namespace skylarkchute
