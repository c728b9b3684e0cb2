#include "EntryEvents.h"

namespace skylarkchute {

std::vector<const EventDescription*> EntryEvents()
{
  return { &kEntryListening,     &kEntryLeaving,        &kEntryStopped,       &kEntryStopCutShort,
           &kConnectionsRefused, &kCertificateReloaded, &kCertificateUnusable };
}

} // namespace skylarkchute
