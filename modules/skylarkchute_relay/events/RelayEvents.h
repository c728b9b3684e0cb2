#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <vector>

namespace skylarkchute {

inline constexpr EventDescription kRelayStarted{
  1100,
  EventLevel::Info,
  "relay-started",
  "The relay listens; it is ready once it knows a configuration."
};
inline constexpr EventDescription kRelayReady{
  1101,
  EventLevel::Info,
  "relay-ready",
  "Configuration and endpoints are known; callers are served."
};
inline constexpr EventDescription kRelayStopping{
  1102,
  EventLevel::Info,
  "relay-stopping",
  "The process was told to stop: it reports not ready and ends what is under way."
};
inline constexpr EventDescription kRelayStopped{ 1103,
                                                 EventLevel::Info,
                                                 "relay-stopped",
                                                 "The process ends." };
inline constexpr EventDescription kSettingsReloaded{ 1104,
                                                     EventLevel::Info,
                                                     "settings-reloaded",
                                                     "The settings file was read again." };
inline constexpr EventDescription kSettingsRefused{
  1105,
  EventLevel::Error,
  "settings-refused",
  "The changed settings file is not valid; the settings in force stay."
};
inline constexpr EventDescription kProcessPaused{
  1106,
  EventLevel::Warning,
  "process-paused",
  "The process did not run for a while; everything known of the store is read again."
};
inline constexpr EventDescription kConfigInForce{ 1110,
                                                  EventLevel::Info,
                                                  "config-in-force",
                                                  "A newer configuration was put in force." };
inline constexpr EventDescription kObjectIgnored{
  1111,
  EventLevel::Warning,
  "object-ignored",
  "An object of the store is not valid; a configuration in force stays, an endpoint is not used."
};
inline constexpr EventDescription kEndpointChanged{
  1112,
  EventLevel::Info,
  "endpoint-changed",
  "An endpoint appeared, changed its state or left."
};
inline constexpr EventDescription kRolloutChanged{
  1113,
  EventLevel::Info,
  "rollout-changed",
  "A rollout was ordered, or its recorded state changed."
};
inline constexpr EventDescription kRolloutStopped{
  1114,
  EventLevel::Error,
  "rollout-stopped",
  "A version was found bad and gets no more requests; its rollout is to be rolled back."
};
inline constexpr EventDescription kStoreLost{
  1120,
  EventLevel::Warning,
  "store-lost",
  "The platform's store does not serve this instance; what is known stays in force."
};
inline constexpr EventDescription kStoreRegained{
  1121,
  EventLevel::Info,
  "store-regained",
  "The platform's store serves this instance again."
};
inline constexpr EventDescription kStoreWrite{
  1122,
  EventLevel::Info,
  "store-write",
  "A conditional write to the platform's store ended."
};
inline constexpr EventDescription kPeerLost{ 1130,
                                             EventLevel::Warning,
                                             "peer-lost",
                                             "An instance has not answered for a while." };
inline constexpr EventDescription kPeerRegained{ 1131,
                                                 EventLevel::Info,
                                                 "peer-regained",
                                                 "An instance answers." };
inline constexpr EventDescription kRelayAttemptFailed{
  1140,
  EventLevel::Warning,
  "attempt-failed",
  "An attempt brought no answer for the caller."
};
inline constexpr EventDescription kRelayRequestRefused{
  1141,
  EventLevel::Warning,
  "request-refused",
  "A request was refused; no endpoint has run it."
};

inline constexpr EventDescription kAnswerBegun{
  1142,
  EventLevel::Debug,
  "answer-begun",
  "An endpoint began to answer; says how loaded it was and what the answer is worth."
};

inline constexpr EventDescription kEndpointDown{
  1143,
  EventLevel::Warning,
  "endpoint-down",
  "An endpoint was down just after requests were lost there; those lost at two are refused."
};

/** Returns every event of this module. */
std::vector<const EventDescription*> RelayEvents();

} // namespace skylarkchute
