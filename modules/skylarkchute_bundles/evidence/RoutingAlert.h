#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace skylarkchute {

/** Stop using a version or refuse a fingerprint, at once and everywhere. */
struct RoutingAlert
{
  std::optional<VersionId> mVersion;
  std::optional<Fingerprint> mSuspect; /**< Crashed one endpoint; @see mCrashCount. */
  std::uint32_t mCrashCount = 0;
  std::string mReason;
  /** Endpoint whose crash the alert tells of, so that two reports of one crash count once. */
  std::optional<EndpointId> mCrashedEndpoint = std::nullopt;
};

} // namespace skylarkchute
