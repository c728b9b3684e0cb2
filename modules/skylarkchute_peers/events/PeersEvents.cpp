#include "PeersEvents.h"

namespace skylarkchute {

std::vector<const EventDescription*> PeersEvents()
{
  return { &kPeerJoined,  &kPeerLeft,   &kPeerSuspected, &kEvidenceUnreadable,
           &kAlertRaised, &kAlertTaken, &kQuotaSilent };
}

} // namespace skylarkchute
