#include "RevertRules.h"

#include <algorithm>

namespace skylarkchute {

namespace {

bool HasKey(const Team& aTeam, const KeyHash& aKey)
{
  return std::any_of(aTeam.mKeyHashes.begin(), aTeam.mKeyHashes.end(), [&](const KeyHash& aOther) {
    return aOther.mSalt == aKey.mSalt && aOther.mSha256Hex == aKey.mSha256Hex;
  });
}

void FindAddedTeamPermissions(const Bundle& aInForce,
                              const Bundle& aWanted,
                              const Team& aTeam,
                              std::vector<std::string>& aFound)
{
  const auto name = "team " + aTeam.mName.Value();
  const auto* before = aInForce.FindTeam(aTeam.mName);
  if (!before) {
    aFound.push_back("it brings back " + name);
    return;
  }
  for (const auto& it : aTeam.mKeyHashes) {
    if (!HasKey(*before, it)) {
      aFound.push_back("it brings back a key of " + name);
    }
  }
  for (const auto& it : aWanted.mVersions) {
    const auto* version = aInForce.FindVersion(it.mId);
    const auto stillAllowed =
      !version || version->mState == VersionState::Withdrawn || aInForce.Allows(*before, *version);
    if (aWanted.Allows(aTeam, it) && !stillAllowed) {
      aFound.push_back("it allows " + name + " to use version " + it.mId.Value());
    }
  }
  for (const auto& it : aTeam.mServices) {
    const auto& services = before->mServices;
    if (std::find(services.begin(), services.end(), it) == services.end()) {
      aFound.push_back("it allows " + name + " to use service " + it.Value());
    }
  }
}

} // namespace

std::vector<std::string> FindAddedPermissions(const Bundle& aInForce, const Bundle& aWanted)
{
  std::vector<std::string> found;
  for (const auto& it : aWanted.mVersions) {
    const auto* version = aInForce.FindVersion(it.mId);
    const auto usable = version && version->mState != VersionState::Withdrawn;
    if (it.mState != VersionState::Withdrawn && !usable) {
      found.push_back("it brings back version " + it.mId.Value());
    }
  }
  for (const auto& it : aWanted.mTeams) {
    FindAddedTeamPermissions(aInForce, aWanted, it, found);
  }
  return found;
}

} // namespace skylarkchute
