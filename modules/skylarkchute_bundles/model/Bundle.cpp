#include "Bundle.h"

#include <algorithm>

namespace skylarkchute {

namespace {

template<typename Entry, typename Name>
const Entry* FindByName(const std::vector<Entry>& aEntries, const Name& aName)
{
  const auto it = std::find_if(
    aEntries.begin(), aEntries.end(), [&](const Entry& aEntry) { return aEntry.mName == aName; });
  return it == aEntries.end() ? nullptr : &*it;
}

} // namespace

const Team* Bundle::FindTeam(const TeamName& aName) const
{
  return FindByName(mTeams, aName);
}

const Model* Bundle::FindModel(const ModelName& aName) const
{
  return FindByName(mModels, aName);
}

const ModelVersion* Bundle::FindVersion(const VersionId& aId) const
{
  const auto it = std::find_if(mVersions.begin(), mVersions.end(), [&](const ModelVersion& aEntry) {
    return aEntry.mId == aId;
  });
  return it == mVersions.end() ? nullptr : &*it;
}

const RequestClass* Bundle::FindClass(const ClassName& aName) const
{
  return FindByName(mClasses, aName);
}

const Cascade* Bundle::FindCascade(const CascadeName& aName) const
{
  return FindByName(mCascades, aName);
}

const Service* Bundle::FindService(const ServiceName& aName) const
{
  return FindByName(mServices, aName);
}

bool Bundle::Allows(const Team& aTeam, const ModelVersion& aVersion) const
{
  if (aVersion.mState == VersionState::Withdrawn) {
    return false;
  }
  const auto contains = [](const auto& aList, const auto& aItem) {
    return std::find(aList.begin(), aList.end(), aItem) != aList.end();
  };
  return contains(aTeam.mModels, aVersion.mModel) || contains(aTeam.mVersions, aVersion.mId);
}

} // namespace skylarkchute
