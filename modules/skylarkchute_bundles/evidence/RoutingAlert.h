#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace skylarkchute {

/** Instructs all instances to stop using a version or reject a fingerprint at once. */
struct RoutingAlert
{
  std::optional<VersionId> mVersion;
  std::optional<Fingerprint> mSuspect; /**< Crashed an endpoint; @see mCrashCount. */
  std::uint32_t mCrashCount = 0;
  std::string mReason;
  /** Endpoint whose crash the alert reports, so that two reports of the same crash count once. */
  std::optional<EndpointId> mCrashedEndpoint = std::nullopt;
};

} // namespace skylarkchute
