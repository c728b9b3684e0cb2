#include "ShareAllocator.h"

#include <algorithm>
#include <set>

namespace skylarkchute {

bool ShareAllocator::IsSilent(const MemberState& aState, TimePoint aNow) const
{
  return aState.mStale || aNow - aState.mReportedAt > mOptions.mSilenceTimeout;
}

double ShareAllocator::ReservedFor(const InstanceId& aMember, double aEqual, TimePoint aNow) const
{
  const auto it = mMembers.find(aMember);
  if (it == mMembers.end()) {
    return aEqual;
  }
  const bool expired = aNow - it->second.mReportedAt > mOptions.mGrantLifetime;
  const double outstanding = expired ? 0 : it->second.mOutstanding;
  return IsSilent(it->second, aNow) ? std::max(aEqual, outstanding) : outstanding;
}

double ShareAllocator::Target(const InstanceId& aFrom,
                              double aAvailable,
                              double aEqual,
                              TimePoint aNow) const
{
  double demand = 0;
  double count = 0;
  for (const auto& [id, state] : mMembers) {
    if (!IsSilent(state, aNow)) {
      demand += state.mDemand;
      ++count;
    }
  }
  if (demand <= 0) {
    return aAvailable / std::max(count, 1.0);
  }
  const double floor =
    std::min(mOptions.mFloorFraction * aEqual, aAvailable / std::max(count, 1.0));
  return floor + (aAvailable - floor * count) * mMembers.at(aFrom).mDemand / demand;
}

double ShareAllocator::Report(const InstanceId& aFrom,
                              double aDemand,
                              double aHeld,
                              bool aStale,
                              const std::vector<InstanceId>& aMembers,
                              TimePoint aNow)
{
  const double equal = 1.0 / static_cast<double>(std::max<std::size_t>(aMembers.size(), 1));
  if (aNow - mLastReport > mOptions.mPeriod + mOptions.mPeriod / 4) {
    // Without reports for that long, another instance may have been the collector in the meantime.
    mMembers.clear();
    mStartedAt = aNow;
  }
  mLastReport = aNow;
  mMembers[aFrom] = { aDemand, aHeld, aNow, aStale };
  const std::set<InstanceId> members(aMembers.begin(), aMembers.end());
  for (auto it = mMembers.begin(); it != mMembers.end();) {
    const bool gone =
      members.count(it->first) == 0 && aNow - it->second.mReportedAt > mOptions.mGrantLifetime;
    it = gone ? mMembers.erase(it) : std::next(it);
  }
  double reservedForOthers = 0;
  double reservedForSilent = 0;
  bool allKnown = true;
  for (const auto& it : members) {
    const auto state = mMembers.find(it);
    const double reserved = ReservedFor(it, equal, aNow);
    allKnown = allKnown && state != mMembers.end();
    if (it != aFrom) {
      reservedForOthers += reserved;
    }
    if (state == mMembers.end() || IsSilent(state->second, aNow)) {
      reservedForSilent += reserved;
    }
  }
  for (const auto& [id, state] : mMembers) {
    if (id != aFrom && members.count(id) == 0) {
      reservedForOthers += ReservedFor(id, 0, aNow);
    }
  }
  const double available = std::max(0.0, 1 - reservedForSilent);
  double fraction = aStale ? equal : Target(aFrom, available, equal, aNow);
  fraction = std::min(fraction, std::max(0.0, 1 - reservedForOthers));
  if (!allKnown && aNow - mStartedAt < mOptions.mGrantLifetime) {
    // Members that have not reported yet may still hold grants of an earlier collector.
    fraction = std::min(fraction, aHeld);
  }
  mMembers[aFrom].mOutstanding = std::max(aHeld, fraction);
  return fraction;
}

} // namespace skylarkchute
