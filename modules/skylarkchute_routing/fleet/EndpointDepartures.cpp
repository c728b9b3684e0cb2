#include "EndpointDepartures.h"

#include <algorithm>
#include <tuple>

namespace skylarkchute {

using std::chrono::milliseconds;

void EndpointDepartures::Add(const EndpointDeparture& aDeparture, TimePoint aNow)
{
  const auto start = aDeparture.mIncarnationStart;
  if (start == 0 || aDeparture.mAge >= kLifetime) {
    return;
  }
  auto& known = mKnown[aDeparture.mId];
  auto& departure = known.mDeparture;
  if (departure.mIncarnationStart > start) {
    return;
  }
  const bool isSame = departure.mIncarnationStart == start;
  const bool isAnnounced = aDeparture.mIsAnnounced || (isSame && departure.mIsAnnounced);
  const bool isLater = !isSame || std::tie(aDeparture.mEra, aDeparture.mRevision) >
                                    std::tie(departure.mEra, departure.mRevision);
  if (isLater) {
    departure = aDeparture;
  }
  departure.mIsAnnounced = isAnnounced;
  const auto since = aNow - std::max(milliseconds(0), aDeparture.mAge);
  known.mSince = isSame ? std::max(known.mSince, since) : since;
}

/** Returns what is known of an entry's incarnation, or null. */
const EndpointDeparture* EndpointDepartures::Find(const FleetEndpoint& aEntry) const
{
  const auto found = mKnown.find(aEntry.mId);
  return found != mKnown.end() &&
             found->second.mDeparture.mIncarnationStart == aEntry.mIncarnationStart
           ? &found->second.mDeparture
           : nullptr;
}

bool EndpointDepartures::HasAnnounced(const FleetEndpoint& aEntry) const
{
  const auto* departure = Find(aEntry);
  return departure != nullptr && departure->mIsAnnounced;
}

bool EndpointDepartures::WasRemoved(const FleetEndpoint& aEntry) const
{
  const auto* departure = Find(aEntry);
  return departure != nullptr && aEntry.mEra > departure->mEra &&
         aEntry.mRevision <= departure->mRevision;
}

void EndpointDepartures::Forget(const EndpointId& aId)
{
  mKnown.erase(aId);
}

void EndpointDepartures::DropExpired(TimePoint aNow)
{
  std::erase_if(mKnown,
                [&](const auto& aEntry) { return aNow - aEntry.second.mSince >= kLifetime; });
}

std::vector<EndpointDeparture> EndpointDepartures::Before(std::uint64_t aEra, TimePoint aNow) const
{
  std::vector<EndpointDeparture> departures;
  for (const auto& [id, known] : mKnown) {
    if (known.mDeparture.mEra < aEra) {
      departures.push_back(known.mDeparture);
      departures.back().mAge = std::chrono::duration_cast<milliseconds>(aNow - known.mSince);
    }
  }
  return departures;
}

} // namespace skylarkchute
