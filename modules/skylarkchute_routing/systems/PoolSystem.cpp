#include "PoolSystem.h"

#include <algorithm>

namespace skylarkchute {

namespace {

/** Maximum fraction of a subset in the instance's own zone; the rest is reserved for overflow to
    other zones. */
constexpr double kOwnZoneFraction = 0.75;

struct ScoredEndpoint
{
  std::uint64_t mScore;
  EndpointId mId;
};

/** Returns up to @p aCount of the endpoints, chosen by rendezvous hashing with the instance. */
std::vector<EndpointId> PickByRendezvousHash(const std::vector<EndpointId>& aAll,
                                             const InstanceId& aInstance,
                                             std::size_t aCount)
{
  const auto seed = StableHash(aInstance.Value());
  std::vector<ScoredEndpoint> scored;
  scored.reserve(aAll.size());
  for (const auto& it : aAll) {
    scored.push_back({ StableHash(it.Value(), seed), it });
  }
  std::sort(scored.begin(), scored.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mScore != aRight.mScore ? aLeft.mScore > aRight.mScore : aLeft.mId < aRight.mId;
  });
  std::vector<EndpointId> picked;
  for (std::size_t n = 0; n < std::min(aCount, scored.size()); ++n) {
    picked.push_back(scored[n].mId);
  }
  return picked;
}

} // namespace

PoolRow& PoolSystem::RefreshPool(const PoolKey& aKey)
{
  auto& pool = mTables.mPools.Get(aKey);
  if (pool.mMembersGeneration == mTables.mEndpoints.Generation()) {
    return pool;
  }
  pool.mMembersGeneration = mTables.mEndpoints.Generation();
  pool.mHosting.clear();
  for (const auto& it : mTables.mEndpoints.All()) {
    if (Serves(it.second, aKey)) {
      pool.mHosting.push_back(it.first);
    }
  }
  pool.mMembers = Subset(pool.mHosting);
  return pool;
}

std::vector<EndpointId> PoolSystem::Subset(const std::vector<EndpointId>& aHosting) const
{
  const auto& options = mTables.mOptions;
  if (aHosting.size() <= options.mSubsetSize) {
    return aHosting;
  }
  std::vector<EndpointId> ownZone;
  std::vector<EndpointId> otherZones;
  for (const auto& it : aHosting) {
    const bool isOwn = mTables.mEndpoints.Find(it)->mRecord.mZone == options.mZone;
    (isOwn ? ownZone : otherZones).push_back(it);
  }
  const auto size = static_cast<double>(options.mSubsetSize);
  auto subset = PickByRendezvousHash(
    ownZone, options.mInstance, static_cast<std::size_t>(size * kOwnZoneFraction));
  for (const auto& it :
       PickByRendezvousHash(otherZones, options.mInstance, options.mSubsetSize - subset.size())) {
    subset.push_back(it);
  }
  std::sort(subset.begin(), subset.end());
  return subset;
}

void PoolSystem::InvalidateMembers()
{
  for (auto& it : mTables.mPools.All()) {
    it.second.mMembersGeneration = 0;
  }
}

void PoolSystem::DropUnused()
{
  std::erase_if(mTables.mPools.All(), [&](const auto& aItem) {
    const auto* version = std::get_if<VersionId>(&aItem.first);
    const auto* service = std::get_if<ServiceName>(&aItem.first);
    const bool known = version != nullptr ? mTables.mBundle->FindVersion(*version) != nullptr
                                          : mTables.mBundle->FindService(*service) != nullptr;
    return !known && aItem.second.mQueue.IsEmpty();
  });
}

double PoolSystem::DrainRate(PoolRow& aPool, TimePoint aNow) const
{
  if (aPool.mDrainRate.IsWarm(aNow)) {
    return aPool.mDrainRate.PerSecond(aNow);
  }
  return 0;
}

bool PoolSystem::Serves(const EndpointRow& aRow, const PoolKey& aKey) const
{
  if (aRow.IsLeaving()) {
    return false;
  }
  if (const auto* service = std::get_if<ServiceName>(&aKey)) {
    return aRow.mRecord.mKind == EndpointKind::Service && aRow.mRecord.mService == *service;
  }
  const auto* version = mTables.mVersions.Find(std::get<VersionId>(aKey));
  return version != nullptr && aRow.mRecord.mKind == EndpointKind::Engine &&
         aRow.Hosts(version->mVersion.mLabel);
}

} // namespace skylarkchute
