#include "RoutingEvents.h"

namespace skylarkchute {

std::vector<const EventDescription*> RoutingEvents()
{
  return { &kVersionStopped, &kBreakerOpened, &kEndpointCrashed, &kFingerprintQuarantined };
}

} // namespace skylarkchute
