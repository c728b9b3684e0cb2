#include "Authenticator.h"

namespace skylarkchute {

const Team* Authenticator::FindTeam(const Bundle& aBundle, const std::string& aApiKey)
{
  const Team* found = nullptr;
  for (const auto& team : aBundle.mTeams) {
    for (const auto& it : team.mKeyHashes) {
      if (EqualInConstantTime(Sha256Hex(it.mSalt + aApiKey), it.mSha256Hex)) {
        found = &team;
      }
    }
  }
  return found;
}

} // namespace skylarkchute
