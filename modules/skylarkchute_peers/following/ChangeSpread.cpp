#include "ChangeSpread.h"

#include <algorithm>
#include <map>

namespace skylarkchute {

namespace {

/** Instances told in the own zone. At random, three leave out about one in twenty. */
constexpr std::size_t kOwnZoneReceivers = 3;

/** Instances told in each other zone by each follower. */
constexpr std::size_t kOtherZoneReceivers = 1;

} // namespace

ChangeSpread::ChangeSpread(std::string aZone, std::uint64_t aSeed)
  : mZone(std::move(aZone))
  , mRandom(static_cast<std::minstd_rand::result_type>(aSeed % 2147483646U + 1))
{
}

std::vector<std::string> ChangeSpread::Receivers(const std::vector<const MemberUpdate*>& aLive,
                                                 Source aSource)
{
  std::map<std::string, std::vector<std::string>> zones;
  for (const auto* it : aLive) {
    // Followers see the change in the store themselves.
    if (it->mState == MemberState::Alive && it->mRole != StoreRole::Follows) {
      zones[it->mRecord.mZone].push_back(it->mRecord.mName);
    }
  }
  std::vector<std::string> receivers;
  for (auto& [zone, names] : zones) {
    if (zone != mZone && aSource != Source::Store) {
      continue;
    }
    const auto wanted = zone == mZone ? kOwnZoneReceivers : kOtherZoneReceivers;
    std::shuffle(names.begin(), names.end(), mRandom);
    names.resize(std::min(names.size(), wanted));
    receivers.insert(receivers.end(), names.begin(), names.end());
  }
  return receivers;
}

std::string ChangeSpread::AnyOf(const std::vector<const MemberUpdate*>& aLive)
{
  return aLive.empty() ? std::string() : aLive[mRandom() % aLive.size()]->mRecord.mName;
}

} // namespace skylarkchute
