#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <vector>

namespace skylarkchute {

inline constexpr EventDescription kEntryListening{ 800,
                                                   EventLevel::Info,
                                                   "entry-listening",
                                                   "The entry is listening for caller requests." };
inline constexpr EventDescription kEntryLeaving{
  801,
  EventLevel::Info,
  "entry-leaving",
  "The readiness check fails from now on; requests are still served."
};
inline constexpr EventDescription kEntryStopped{
  802,
  EventLevel::Info,
  "entry-stopped",
  "The entry has stopped accepting requests and those in flight have ended."
};
inline constexpr EventDescription kEntryStopCutShort{
  803,
  EventLevel::Error,
  "entry-stop-cut-short",
  "Requests were still in flight when the graceful stop timed out."
};
inline constexpr EventDescription kConnectionsRefused{ 804,
                                                       EventLevel::Warning,
                                                       "connections-refused",
                                                       "Connections were refused with not-run "
                                                       "because too many were open." };
inline constexpr EventDescription kCertificateReloaded{
  805,
  EventLevel::Info,
  "certificate-reloaded",
  "A changed certificate was loaded and is in use."
};
inline constexpr EventDescription kCertificateUnusable{
  806,
  EventLevel::Error,
  "certificate-unusable",
  "A changed certificate could not be loaded; the previous one stays in use."
};

/** Returns every event of this module. */
std::vector<const EventDescription*> EntryEvents();

} // namespace skylarkchute
