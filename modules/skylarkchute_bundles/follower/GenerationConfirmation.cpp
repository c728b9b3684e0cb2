#include "GenerationConfirmation.h"

#include <algorithm>
#include <set>

namespace skylarkchute {

GenerationConfirmation::GenerationConfirmation(const FollowerOptions& aOptions) : mOptions(aOptions)
{
}

bool GenerationConfirmation::Tick(TimePoint aNow)
{
  const auto paused = mLastTick && aNow - *mLastTick > mOptions.mPauseBound;
  mLastTick = aNow;
  if (paused) {
    mResumedAt = aNow;
    mConfirmedAt.reset();
    mHeard.clear();
  }
  return paused;
}

void GenerationConfirmation::ApplyFleet(const std::vector<FleetMember>& aFleet)
{
  mFleet = aFleet;
  std::erase_if(mHeard, [&](const auto& aEntry) {
    return std::none_of(aFleet.begin(), aFleet.end(), [&](const FleetMember& aMember) {
      return aMember.mId == aEntry.first;
    });
  });
}

void GenerationConfirmation::Confirm(TimePoint aAt)
{
  if (mResumedAt && aAt < *mResumedAt) {
    return;
  }
  mConfirmedAt = mConfirmedAt ? std::max(*mConfirmedAt, aAt) : aAt;
}

void GenerationConfirmation::Hear(const InstanceId& aPeer,
                                  std::optional<TimePoint> aConfirmedAt,
                                  TimePoint aNow)
{
  mHeard[aPeer] = { aNow, aConfirmedAt };
}

const GenerationConfirmation::SignOfLife* GenerationConfirmation::FindSign(
  const InstanceId& aPeer) const
{
  const auto it = mHeard.find(aPeer);
  return it == mHeard.end() ? nullptr : &it->second;
}

std::vector<InstanceId> GenerationConfirmation::PeersToAsk(std::uint64_t aTurn,
                                                           TimePoint aNow) const
{
  const auto age = ConfirmedAge(aNow);
  const auto half = mOptions.mFreshness / 2;
  if (!mStoreFailing || !mFleet || (age && *age <= half)) {
    return {};
  }
  std::map<ZoneName, std::vector<InstanceId>> zones;
  std::set<ZoneName> heardZones;
  for (const auto& it : *mFleet) {
    if (it.mId == mOptions.mSelf) {
      continue;
    }
    zones[it.mZone].push_back(it.mId);
    const auto* sign = FindSign(it.mId);
    if (sign && aNow - sign->mAt <= half) {
      heardZones.insert(it.mZone);
    }
  }
  std::vector<InstanceId> peers;
  for (const auto& [zone, members] : zones) {
    if (!heardZones.contains(zone)) {
      peers.push_back(members[aTurn % members.size()]);
    }
  }
  return peers;
}

std::optional<std::chrono::milliseconds> GenerationConfirmation::ConfirmedAge(TimePoint aNow) const
{
  if (!mConfirmedAt) {
    return std::nullopt;
  }
  return std::chrono::ceil<std::chrono::milliseconds>(std::max(aNow, *mConfirmedAt) -
                                                      *mConfirmedAt);
}

bool GenerationConfirmation::IsNeeded(bool aNewerKnown, TimePoint aNow) const
{
  if (mLastTick && aNow - *mLastTick > mOptions.mPauseBound) {
    return true;
  }
  const auto age = ConfirmedAge(aNow);
  if (age && *age <= mOptions.mFreshness) {
    return false;
  }
  return aNewerKnown || !IsStoreDownForAll(aNow);
}

bool GenerationConfirmation::IsSettling(TimePoint aNow) const
{
  return mResumedAt && aNow < *mResumedAt + mOptions.mSettleTime;
}

bool GenerationConfirmation::IsStoreDownForAll(TimePoint aNow) const
{
  if (!mStoreFailing || !mFleet) {
    return false;
  }
  std::map<ZoneName, bool> heardZones;
  for (const auto& it : *mFleet) {
    if (it.mId == mOptions.mSelf) {
      continue;
    }
    auto& heardZone = heardZones[it.mZone];
    const auto* sign = FindSign(it.mId);
    if (!sign || aNow - sign->mAt > mOptions.mFreshness) {
      continue;
    }
    if (sign->mConfirmedAt && aNow - *sign->mConfirmedAt <= mOptions.mFreshness) {
      return false;
    }
    heardZone = true;
  }
  return std::all_of(
    heardZones.begin(), heardZones.end(), [](const auto& aEntry) { return aEntry.second; });
}

} // namespace skylarkchute
