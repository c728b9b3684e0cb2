#include "RelayEvents.h"

namespace skylarkchute {

std::vector<const EventDescription*> RelayEvents()
{
  return { &kRelayStarted,
           &kRelayReady,
           &kRelayStopping,
           &kRelayStopped,
           &kSettingsReloaded,
           &kSettingsRefused,
           &kProcessPaused,
           &kConfigInForce,
           &kObjectIgnored,
           &kEndpointChanged,
           &kRolloutChanged,
           &kRolloutStopped,
           &kStoreLost,
           &kStoreRegained,
           &kStoreWrite,
           &kStoreFollowed,
           &kStoreNotFollowed,
           &kStoreRestored,
           &kPeerLost,
           &kPeerRegained,
           &kRelayAttemptFailed,
           &kRelayRequestRefused,
           &kAnswerBegun,
           &kEndpointDown,
           &kEndpointLimited,
           &kEndpointLeaving,
           &kEndpointPaused,
           &kPromptPartRefused,
           &kEndpointsUnreachable,
           &kEndpointsReached,
           &kLoopDelayed,
           &kEndpointBrittle,
           &kRequestHedged };
}

} // namespace skylarkchute
