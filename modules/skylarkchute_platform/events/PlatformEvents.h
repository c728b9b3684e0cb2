#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <vector>

namespace skylarkchute {

inline constexpr EventDescription kStoreOutageBegan{
  601,
  EventLevel::Warning,
  "store-outage-began",
  "Consecutive calls to the object API have failed."
};
inline constexpr EventDescription kStoreOutageEnded{ 602,
                                                     EventLevel::Info,
                                                     "store-outage-ended",
                                                     "The object API responds again." };
inline constexpr EventDescription kInstanceListUnreadable{ 603,
                                                           EventLevel::Warning,
                                                           "instance-list-unreadable",
                                                           "The instance list could not be read." };

/** Returns every event of this module. */
inline std::vector<const EventDescription*> PlatformEvents()
{
  return { &kStoreOutageBegan, &kStoreOutageEnded, &kInstanceListUnreadable };
}

} // namespace skylarkchute
