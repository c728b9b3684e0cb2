#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

namespace skylarkchute {

inline constexpr EventDescription kPeerJoined{ 500,
                                               EventLevel::Info,
                                               "peer-joined",
                                               "An instance counts as live for this one." };
inline constexpr EventDescription kPeerLeft{
  501,
  EventLevel::Info,
  "peer-left",
  "An instance left the list, is leaving or said goodbye; it gets no more messages."
};
inline constexpr EventDescription kPeerSuspected{
  502,
  EventLevel::Warning,
  "peer-suspected",
  "Calls to an instance failed in a row; it is left out until it answers or its hold-down ends."
};
inline constexpr EventDescription kEvidenceUnreadable{
  510,
  EventLevel::Warning,
  "evidence-unreadable",
  "An evidence message of a peer cannot be read and is dropped."
};
inline constexpr EventDescription kAlertRaised{
  520,
  EventLevel::Warning,
  "alert-raised",
  "This instance warns its peers of a bad version or a crashing request."
};
inline constexpr EventDescription kAlertTaken{ 521,
                                               EventLevel::Info,
                                               "alert-taken",
                                               "An alert of a peer was taken in and passed on." };
inline constexpr EventDescription kQuotaSilent{
  530,
  EventLevel::Warning,
  "quota-silent",
  "The collector of a team's limit does not answer; the equal share is in force."
};

/** Returns every event of the peers module. */
std::vector<const EventDescription*> PeersEvents();

} // namespace skylarkchute
