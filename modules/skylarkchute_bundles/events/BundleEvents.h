#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <vector>

namespace skylarkchute {

inline constexpr EventDescription kBundleInForce{
  200,
  EventLevel::Info,
  "bundle-in-force",
  "This instance put a bundle of a newer generation in force."
};
inline constexpr EventDescription kBundleRefused{
  201,
  EventLevel::Error,
  "bundle-refused",
  "The bundle named by the head could not be parsed; the current bundle stays in force."
};
inline constexpr EventDescription kHeadUnreadable{
  202,
  EventLevel::Error,
  "head-unreadable",
  "The head object is not valid and was ignored."
};
inline constexpr EventDescription kHeadBehind{
  203,
  EventLevel::Error,
  "head-behind",
  "The platform returned an older generation than the one in force, or none; it was ignored."
};
inline constexpr EventDescription kHeadConflict{
  204,
  EventLevel::Error,
  "head-conflict",
  "Two different bundles have the generation in force; the first one received stays in force."
};
inline constexpr EventDescription kPartDamaged{
  205,
  EventLevel::Warning,
  "part-damaged",
  "A bundle part did not match its hash and was fetched again."
};
inline constexpr EventDescription kHeadWatchFailed{
  206,
  EventLevel::Warning,
  "head-watch-failed",
  "The head could not be read from the platform; the watch is retried after a delay."
};
inline constexpr EventDescription kConfirmationNeeded{
  207,
  EventLevel::Warning,
  "confirmation-needed",
  "The generation in force was not confirmed within the freshness bound; requests are answered "
  "not-run."
};
inline constexpr EventDescription kConfirmed{ 208,
                                              EventLevel::Info,
                                              "generation-confirmed",
                                              "The generation in force is confirmed again." };
inline constexpr EventDescription kRollStageAdvanced{ 220,
                                                      EventLevel::Info,
                                                      "roll-stage-advanced",
                                                      "A roll moved on to its next stage." };
inline constexpr EventDescription kRollWithdrawn{
  221,
  EventLevel::Error,
  "roll-withdrawn",
  "A rolling version was withdrawn based on its evidence."
};
inline constexpr EventDescription kRollFinished{
  222,
  EventLevel::Info,
  "roll-finished",
  "A roll completed its last stage; the version receives all traffic of the one it replaces."
};
inline constexpr EventDescription kRollUnreadable{
  223,
  EventLevel::Error,
  "roll-unreadable",
  "A roll object is not valid; its version stays at the last known share."
};

/** Returns every event of this module. */
std::vector<const EventDescription*> BundleEvents();

} // namespace skylarkchute
