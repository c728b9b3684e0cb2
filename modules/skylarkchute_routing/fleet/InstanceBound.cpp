#include "InstanceBound.h"

#include <algorithm>

namespace skylarkchute {

void InstanceBound::Update(const View& aView, TimePoint aNow)
{
  if (!mStart) {
    mStart = aNow;
    mLastNew = aNow;
  }
  const auto isMissing = [&](const InstanceId& aId) {
    return aId != aView.mSelf &&
           std::find(aView.mLive.begin(), aView.mLive.end(), aId) == aView.mLive.end();
  };
  // One that is listed but not in contact may be cut off, together with others that are not listed.
  const bool mayBeCutOff =
    aView.mListed && std::any_of(aView.mListed->begin(), aView.mListed->end(), isMissing);
  if (!mayBeCutOff) {
    std::erase_if(mSeen, [&](const auto& aEntry) { return aNow - aEntry.second > kRetention; });
  }
  mSeen[aView.mSelf] = aNow;
  for (const auto& it : aView.mLive) {
    if (mSeen.insert_or_assign(it, aNow).second) {
      mLastNew = aNow;
    }
  }
  if (mIsComplete) {
    return;
  }
  const bool isAlone = aView.mLive.empty() && aView.mHasContacts;
  const bool knowsListed =
    aView.mListed && std::all_of(aView.mListed->begin(),
                                 aView.mListed->end(),
                                 [this](const InstanceId& aId) { return mSeen.count(aId) > 0; });
  mIsComplete =
    !isAlone && knowsListed && aNow - *mStart >= kStartTime && aNow - mLastNew >= kSettleTime;
}

std::optional<std::vector<InstanceId>> InstanceBound::Possible() const
{
  if (!mIsComplete) {
    return std::nullopt;
  }
  std::vector<InstanceId> instances;
  for (const auto& [id, at] : mSeen) {
    instances.push_back(id);
  }
  return instances;
}

} // namespace skylarkchute
