#include "GenerationConfirmation.h"

#include <algorithm>

namespace skylarkchute {

GenerationConfirmation::GenerationConfirmation(const FollowerOptions& aOptions) : mOptions(aOptions)
{
}

bool GenerationConfirmation::Tick(TimePoint aNow)
{
  const auto paused = mLastTick && aNow - *mLastTick > mOptions.mPauseThreshold;
  mLastTick = aNow;
  if (paused) {
    mResumedAt = aNow;
    mConfirmedAt.reset();
    ClearPeerObservations();
  }
  return paused;
}

void GenerationConfirmation::ApplyFleet(const std::vector<FleetMember>& aFleet)
{
  mFleetKnown = true;
  mZones.clear();
  mZoneByInstance.clear();
  for (const auto& it : aFleet) {
    if (it.mId != mOptions.mSelf) {
      mZones[it.mZone].mMembers.push_back(it.mId);
      mZoneByInstance[it.mId] = it.mZone;
    }
  }
  std::erase_if(mPeerObservations,
                [&](const auto& aEntry) { return !mZoneByInstance.contains(aEntry.first); });
  for (const auto& [peer, observation] : mPeerObservations) {
    UpdateZone(peer, observation);
  }
}

void GenerationConfirmation::ClearPeerObservations()
{
  mPeerObservations.clear();
  for (auto& [zone, observations] : mZones) {
    observations.mAgreedAt.reset();
    observations.mConfirmedAt.reset();
  }
}

void GenerationConfirmation::UpdateZone(const InstanceId& aPeer,
                                        const PeerObservation& aObservation)
{
  const auto zone = mZoneByInstance.find(aPeer);
  if (zone == mZoneByInstance.end()) {
    return;
  }
  auto& observations = mZones[zone->second];
  observations.mAgreedAt = std::max(observations.mAgreedAt, aObservation.mAgreedAt);
  observations.mConfirmedAt = std::max(observations.mConfirmedAt, aObservation.mConfirmedAt);
}

void GenerationConfirmation::Confirm(TimePoint aAt)
{
  if (mResumedAt && aAt < *mResumedAt) {
    return;
  }
  mConfirmedAt = mConfirmedAt ? std::max(*mConfirmedAt, aAt) : aAt;
}

void GenerationConfirmation::RecordPeerHead(const InstanceId& aPeer,
                                            bool aAgrees,
                                            std::optional<TimePoint> aConfirmedAt,
                                            TimePoint aNow)
{
  const PeerObservation observation{ aAgrees ? std::optional(aNow) : std::nullopt, aConfirmedAt };
  if (mZoneByInstance.contains(aPeer)) {
    mPeerObservations[aPeer] = observation;
    UpdateZone(aPeer, observation);
  }
}

std::vector<InstanceId> GenerationConfirmation::PeersToAsk(std::uint64_t aRotation,
                                                           TimePoint aNow) const
{
  const auto age = ConfirmedAge(aNow);
  const auto half = mOptions.mConfirmationMaxAge / 2;
  if (!mStoreFailing || (age && *age <= half)) {
    return {};
  }
  std::vector<InstanceId> peers;
  for (const auto& [zone, observations] : mZones) {
    if (!observations.mAgreedAt || aNow - *observations.mAgreedAt > half) {
      peers.push_back(observations.mMembers[aRotation % observations.mMembers.size()]);
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
  if (mLastTick && aNow - *mLastTick > mOptions.mPauseThreshold) {
    return true;
  }
  const auto age = ConfirmedAge(aNow);
  if (age && *age <= mOptions.mConfirmationMaxAge) {
    return false;
  }
  return aNewerKnown || !IsStoreDownFleetWide(aNow);
}

bool GenerationConfirmation::IsSettling(TimePoint aNow) const
{
  return mResumedAt && aNow < *mResumedAt + mOptions.mSettleTime;
}

bool GenerationConfirmation::IsStoreDownFleetWide(TimePoint aNow) const
{
  if (!mStoreFailing || !mFleetKnown) {
    return false;
  }
  const auto isFresh = [&](const std::optional<TimePoint>& aAt) {
    return aAt && aNow - *aAt <= mOptions.mConfirmationMaxAge;
  };
  return std::all_of(mZones.begin(), mZones.end(), [&](const auto& aEntry) {
    return isFresh(aEntry.second.mAgreedAt) && !isFresh(aEntry.second.mConfirmedAt);
  });
}

} // namespace skylarkchute
