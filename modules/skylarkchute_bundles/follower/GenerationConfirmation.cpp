#include "GenerationConfirmation.h"

#include <algorithm>

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
    ForgetWitnesses();
  }
  return paused;
}

void GenerationConfirmation::ApplyFleet(const std::vector<FleetMember>& aFleet)
{
  mFleetKnown = true;
  mZones.clear();
  mZoneOf.clear();
  for (const auto& it : aFleet) {
    if (it.mId != mOptions.mSelf) {
      mZones[it.mZone].mMembers.push_back(it.mId);
      mZoneOf[it.mId] = it.mZone;
    }
  }
  std::erase_if(mHeard, [&](const auto& aEntry) { return !mZoneOf.contains(aEntry.first); });
  for (const auto& [peer, sign] : mHeard) {
    CountSign(peer, sign);
  }
}

void GenerationConfirmation::ForgetWitnesses()
{
  mHeard.clear();
  for (auto& [zone, signs] : mZones) {
    signs.mWitnessedAt.reset();
    signs.mConfirmedAt.reset();
  }
}

void GenerationConfirmation::CountSign(const InstanceId& aPeer, const SignOfLife& aSign)
{
  const auto zone = mZoneOf.find(aPeer);
  if (zone == mZoneOf.end()) {
    return;
  }
  auto& signs = mZones[zone->second];
  signs.mWitnessedAt = std::max(signs.mWitnessedAt, aSign.mWitnessedAt);
  signs.mConfirmedAt = std::max(signs.mConfirmedAt, aSign.mConfirmedAt);
}

void GenerationConfirmation::Confirm(TimePoint aAt)
{
  if (mResumedAt && aAt < *mResumedAt) {
    return;
  }
  mConfirmedAt = mConfirmedAt ? std::max(*mConfirmedAt, aAt) : aAt;
}

void GenerationConfirmation::Hear(const InstanceId& aPeer,
                                  bool aIsWitness,
                                  std::optional<TimePoint> aConfirmedAt,
                                  TimePoint aNow)
{
  const SignOfLife sign{ aIsWitness ? std::optional(aNow) : std::nullopt, aConfirmedAt };
  if (mZoneOf.contains(aPeer)) {
    mHeard[aPeer] = sign;
    CountSign(aPeer, sign);
  }
}

std::vector<InstanceId> GenerationConfirmation::PeersToAsk(std::uint64_t aTurn,
                                                           TimePoint aNow) const
{
  const auto age = ConfirmedAge(aNow);
  const auto half = mOptions.mFreshness / 2;
  if (!mStoreFailing || (age && *age <= half)) {
    return {};
  }
  std::vector<InstanceId> peers;
  for (const auto& [zone, signs] : mZones) {
    if (!signs.mWitnessedAt || aNow - *signs.mWitnessedAt > half) {
      peers.push_back(signs.mMembers[aTurn % signs.mMembers.size()]);
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
  if (!mStoreFailing || !mFleetKnown) {
    return false;
  }
  const auto isFresh = [&](const std::optional<TimePoint>& aAt) {
    return aAt && aNow - *aAt <= mOptions.mFreshness;
  };
  return std::all_of(mZones.begin(), mZones.end(), [&](const auto& aEntry) {
    return isFresh(aEntry.second.mWitnessedAt) && !isFresh(aEntry.second.mConfirmedAt);
  });
}

} // namespace skylarkchute
