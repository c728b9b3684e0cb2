#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <vector>

namespace skylarkchute {

inline constexpr EventDescription kVersionStopped{
  300,
  EventLevel::Warning,
  "version-stopped",
  "This instance sends no more requests to a version, because of its own evidence, a withdrawn "
  "roll or a peer's alert."
};

inline constexpr EventDescription kBreakerOpened{ 301,
                                                  EventLevel::Warning,
                                                  "breaker-opened",
                                                  "An endpoint failed and gets no more attempts "
                                                  "until a probe succeeds." };

inline constexpr EventDescription kEndpointCrashed{
  302,
  EventLevel::Warning,
  "endpoint-crashed",
  "An endpoint lost its connections before its answers were complete; the fingerprints of the "
  "interrupted requests are suspect."
};

inline constexpr EventDescription kFingerprintQuarantined{
  303,
  EventLevel::Error,
  "fingerprint-quarantined",
  "A request fingerprint was seen at two endpoint crashes and is refused from now on."
};

/** Returns all events of this module. */
std::vector<const EventDescription*> RoutingEvents();

} // namespace skylarkchute
