#include "LedgerEvents.h"

namespace skylarkchute {

std::vector<const EventDescription*> LedgerEvents()
{
  return { &kRegisterConflict,      &kRegisterReadBack, &kRegisterStoreDown, &kRegisterCorrupt,
           &kRegisterForwardFailed, &kClaimReleased,    &kClaimHolderGone,   &kClaimKeyReused,
           &kUsageBackupFailed,     &kUsageUnprotected, &kUsageRecovered,    &kUsageBatchTaken };
}

} // namespace skylarkchute
