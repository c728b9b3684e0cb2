#pragma once

#include <skylarkchute_peers/messages/Methods.h>

#include <string>
#include <vector>

namespace skylarkchute {

/** Further method names, of the messages of bundles and tickets. */
inline constexpr const char* kBundlePartsMethod = "bundle.parts";
inline constexpr const char* kTicketAcceptMethod = "ticket.accept";
inline constexpr const char* kTicketFinishMethod = "ticket.finish";

/** Returns every method that an instance serves. */
inline std::vector<std::string> PeerMethods()
{
  return { kRegisterWriteMethod, kClaimOutcomeMethod, kBundlePartsMethod, kUsageBackupMethod,
           kUsageDropMethod,     kTicketAcceptMethod, kTicketFinishMethod };
}

} // namespace skylarkchute
