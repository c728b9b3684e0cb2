#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <vector>

namespace skylarkchute {

inline constexpr EventDescription kEntryListening{ 800,
                                                   EventLevel::Info,
                                                   "entry-listening",
                                                   "The entry takes requests of callers." };
inline constexpr EventDescription kEntryLeaving{ 801,
                                                 EventLevel::Info,
                                                 "entry-leaving",
                                                 "Readiness fails; requests are still served." };
inline constexpr EventDescription kEntryStopped{ 802,
                                                 EventLevel::Info,
                                                 "entry-stopped",
                                                 "The entry takes no more requests and those in "
                                                 "flight have ended." };
inline constexpr EventDescription kEntryStopCutShort{ 803,
                                                      EventLevel::Error,
                                                      "entry-stop-cut-short",
                                                      "Requests were still in flight when the time "
                                                      "for a graceful stop was over." };
inline constexpr EventDescription kConnectionsRefused{ 804,
                                                       EventLevel::Warning,
                                                       "connections-refused",
                                                       "Connections were refused with not-run "
                                                       "because too many were open." };
inline constexpr EventDescription kCertificateReloaded{ 805,
                                                        EventLevel::Info,
                                                        "certificate-reloaded",
                                                        "A changed certificate is in use." };
inline constexpr EventDescription kCertificateUnusable{ 806,
                                                        EventLevel::Error,
                                                        "certificate-unusable",
                                                        "A changed certificate could not be used; "
                                                        "the former one stays." };

/** Returns every event of this module. */
std::vector<const EventDescription*> EntryEvents();

} // namespace skylarkchute
