#pragma once

#include <string>
#include <vector>

namespace skylarkchute {

/** Method names of the JSON-RPC requests between instances. */
inline constexpr const char* kRegisterWriteMethod = "register.write";
inline constexpr const char* kClaimOutcomeMethod = "claim.outcome";
inline constexpr const char* kBundlePartsMethod = "bundle.parts";
inline constexpr const char* kUsageBackupMethod = "usage.backup";
inline constexpr const char* kUsageDropMethod = "usage.drop";
inline constexpr const char* kTicketAcceptMethod = "ticket.accept";
inline constexpr const char* kTicketFinishMethod = "ticket.finish";

/** Returns every method that an instance serves. */
inline std::vector<std::string> PeerMethods()
{
  return { kRegisterWriteMethod, kClaimOutcomeMethod, kBundlePartsMethod, kUsageBackupMethod,
           kUsageDropMethod,     kTicketAcceptMethod, kTicketFinishMethod };
}

} // namespace skylarkchute
