#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <vector>

namespace skylarkchute {

inline constexpr EventDescription kInstanceStarted{ 1001,
                                                    EventLevel::Info,
                                                    "instance-started",
                                                    "The instance listens for callers and peers." };
inline constexpr EventDescription kInstanceLeaving{ 1002,
                                                    EventLevel::Info,
                                                    "instance-leaving",
                                                    "A graceful stop has begun; readiness fails." };
inline constexpr EventDescription kInstanceStopped{
  1003,
  EventLevel::Info,
  "instance-stopped",
  "The instance has stopped; `drained` tells whether all work was completed."
};
inline constexpr EventDescription kPeerRefused{
  1004,
  EventLevel::Warning,
  "peer-refused",
  "A peer message without a valid signature was refused."
};

/** Returns every event of the serve command. */
inline std::vector<const EventDescription*> ServeEvents()
{
  return { &kInstanceStarted, &kInstanceLeaving, &kInstanceStopped, &kPeerRefused };
}

} // namespace skylarkchute
