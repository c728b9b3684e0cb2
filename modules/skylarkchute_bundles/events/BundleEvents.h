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
  "The bundle that the head names could not be parsed; the one in force stays."
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
  "The platform shows an older generation than the one in force, or none; it was ignored."
};
inline constexpr EventDescription kHeadConflict{
  204,
  EventLevel::Error,
  "head-conflict",
  "Two different bundles carry the generation in force; the first one seen stays."
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
  "The head could not be read from the platform; the watch is started again after a delay."
};
inline constexpr EventDescription kConfirmationNeeded{
  207,
  EventLevel::Warning,
  "confirmation-needed",
  "The generation in force was not confirmed within its bound; requests are answered not-run."
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
  "A rolling version was withdrawn on its evidence."
};
inline constexpr EventDescription kRollFinished{
  222,
  EventLevel::Info,
  "roll-finished",
  "A roll passed its last stage; the version takes all traffic of the one it replaces."
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
