#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <vector>

namespace skylarkchute {

inline constexpr EventDescription kRequestRefused{
  902,
  EventLevel::Debug,
  "request-refused",
  "A request ended without an answer from an endpoint."
};
inline constexpr EventDescription kPeerMessageUnreadable{
  903,
  EventLevel::Warning,
  "peer-message-unreadable",
  "A message from a peer could not be read."
};
inline constexpr EventDescription kGenerationUnconfirmed{
  904,
  EventLevel::Warning,
  "generation-unconfirmed",
  "A request was refused, since neither the store nor peers confirmed the generation in time."
};

/** Returns every event of this module. */
inline std::vector<const EventDescription*> NodeEvents()
{
  return { &kRequestRefused, &kPeerMessageUnreadable, &kGenerationUnconfirmed };
}

} // namespace skylarkchute
