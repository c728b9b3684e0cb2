#include "BundleEvents.h"

namespace skylarkchute {

std::vector<const EventDescription*> BundleEvents()
{
  return {
    &kBundleInForce, &kBundleRefused,   &kHeadUnreadable,     &kHeadBehind, &kHeadConflict,
    &kPartDamaged,   &kHeadWatchFailed, &kConfirmationNeeded, &kConfirmed,  &kRollStageAdvanced,
    &kRollWithdrawn, &kRollFinished,    &kRollUnreadable,
  };
}

} // namespace skylarkchute
