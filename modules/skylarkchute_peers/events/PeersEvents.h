#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

namespace skylarkchute {

inline constexpr EventDescription kPeerJoined{ 500,
                                               EventLevel::Info,
                                               "peer-joined",
                                               "This instance considers a peer live." };
inline constexpr EventDescription kPeerLeft{
  501,
  EventLevel::Info,
  "peer-left",
  "A peer left the list, is leaving or announced its shutdown; it gets no more messages."
};
inline constexpr EventDescription kPeerSuspected{
  502,
  EventLevel::Warning,
  "peer-suspected",
  "Consecutive calls to a peer failed; it is excluded until it answers or its hold-down ends."
};
inline constexpr EventDescription kEvidenceUnreadable{
  510,
  EventLevel::Warning,
  "evidence-unreadable",
  "An evidence message of a peer cannot be decoded and is dropped."
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
                                               "An alert of a peer was received and forwarded." };
inline constexpr EventDescription kQuotaSilent{
  530,
  EventLevel::Warning,
  "quota-silent",
  "The collector of a team's limit does not answer; the equal share is in force."
};

/** Returns every event of the peers module. */
std::vector<const EventDescription*> PeersEvents();

} // namespace skylarkchute
