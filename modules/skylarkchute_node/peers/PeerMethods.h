#pragma once

#include <skylarkchute_peers/messages/Methods.h>

#include <string>
#include <vector>

namespace skylarkchute {

/** Names of the peer methods for bundle parts and tickets. */
inline constexpr const char* kBundlePartsMethod = "bundle.parts";
inline constexpr const char* kTicketAcceptMethod = "ticket.accept";
inline constexpr const char* kTicketFinishMethod = "ticket.finish";

/** Returns the names of all peer methods that an instance serves. */
inline std::vector<std::string> PeerMethods()
{
  return { kRegisterWriteMethod, kClaimOutcomeMethod, kBundlePartsMethod,  kUsageBackupMethod,
           kUsageDropMethod,     kTicketAcceptMethod, kTicketFinishMethod, kEvidenceUpMethod,
           kEvidenceDownMethod,  kAlertSpreadMethod,  kQuotaDemandMethod,  kPeerGoodbyeMethod };
}

} // namespace skylarkchute
