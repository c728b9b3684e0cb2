#include "EndpointChoice.h"

#include <algorithm>

namespace skylarkchute {

namespace {

/** An endpoint is kept for its prefixes up to this multiple of the mean load. */
constexpr double kAffinityLoadBound = 1.25;

/** Returns what ties a request to an endpoint: its session's prompt, or its prefix. */
const std::string& AffinityKey(const RequestRow& aRow)
{
  return aRow.mFacts.mPrefixHash;
}

bool WasTried(const RequestRow& aRow, const EndpointRow& aEndpoint)
{
  return std::find(aRow.mTried.begin(), aRow.mTried.end(), aEndpoint.mRecord.mId) !=
         aRow.mTried.end();
}

} // namespace

bool EndpointChoice::HasRoom(const PoolRow& aPool, TimePoint aNow)
{
  return std::any_of(aPool.mMembers.begin(), aPool.mMembers.end(), [&](const EndpointId& aId) {
    const auto* endpoint = mTables.mEndpoints.Find(aId);
    return endpoint != nullptr && endpoint->CanTake(aNow, mTables.mOptions.mDefaultSlots);
  });
}

double EndpointChoice::Room(const PoolRow& aPool, TimePoint aNow)
{
  const auto slots = mTables.mOptions.mDefaultSlots;
  double room = 0;
  for (const auto* it : WithRoom(aPool, aNow)) {
    room += it->Window(slots) - it->mInFlight;
  }
  return room;
}

double EndpointChoice::Window(const PoolRow& aPool)
{
  double window = 0;
  for (const auto& it : aPool.mMembers) {
    const auto* endpoint = mTables.mEndpoints.Find(it);
    window += endpoint == nullptr ? 0 : endpoint->Window(mTables.mOptions.mDefaultSlots);
  }
  return window;
}

EndpointRow* EndpointChoice::Choose(const RequestRow& aRow, const PoolRow& aPool, TimePoint aNow)
{
  if (auto* endpoint = ChooseUntried(aRow, aPool, aNow)) {
    return endpoint;
  }
  return ChooseOf(aRow, WithRoom(aPool, aNow), aNow);
}

EndpointRow* EndpointChoice::ChooseUntried(const RequestRow& aRow,
                                           const PoolRow& aPool,
                                           TimePoint aNow)
{
  auto candidates = WithRoom(aPool, aNow);
  std::erase_if(candidates, [&](const EndpointRow* aIt) { return WasTried(aRow, *aIt); });
  return ChooseOf(aRow, candidates, aNow);
}

EndpointChoice::Candidates EndpointChoice::WithRoom(const PoolRow& aPool, TimePoint aNow)
{
  Candidates candidates;
  for (const auto& it : aPool.mMembers) {
    auto* endpoint = mTables.mEndpoints.Find(it);
    if (endpoint != nullptr && endpoint->CanTake(aNow, mTables.mOptions.mDefaultSlots)) {
      candidates.push_back(endpoint);
    }
  }
  return candidates;
}

EndpointRow* EndpointChoice::ChooseOf(const RequestRow& aRow,
                                      const Candidates& aCandidates,
                                      TimePoint aNow)
{
  if (aCandidates.empty()) {
    return nullptr;
  }
  Candidates own;
  for (auto* it : aCandidates) {
    if (it->mRecord.mZone == mTables.mOptions.mZone) {
      own.push_back(it);
    }
  }
  const auto& candidates = own.empty() ? aCandidates : own;
  if (auto* endpoint = ByAffinity(AffinityKey(aRow), candidates, aNow)) {
    ++mTables.mCounters.mAffinityHits;
    return endpoint;
  }
  return ByTwoChoices(candidates, aNow);
}

EndpointRow* EndpointChoice::ByAffinity(const std::string& aKey,
                                        const Candidates& aCandidates,
                                        TimePoint aNow)
{
  if (aKey.empty()) {
    return nullptr;
  }
  const auto seed = StableHash(aKey);
  double load = 0;
  EndpointRow* best = nullptr;
  std::uint64_t bestHash = 0;
  for (auto* it : aCandidates) {
    load += it->Load(aNow);
    const auto hash = StableHash(it->mRecord.mId.Value(), seed);
    if (best == nullptr || hash > bestHash) {
      best = it;
      bestHash = hash;
    }
  }
  const double mean = load / static_cast<double>(aCandidates.size());
  const bool withinBound = best->Load(aNow) + 1 <= kAffinityLoadBound * mean + 1;
  return withinBound && !best->mBreaker.IsProbing() ? best : nullptr;
}

EndpointRow* EndpointChoice::ByTwoChoices(const Candidates& aCandidates, TimePoint aNow)
{
  const auto size = static_cast<double>(aCandidates.size());
  auto* first = aCandidates[static_cast<std::size_t>(mTables.Draw() * size)];
  auto* second = aCandidates[static_cast<std::size_t>(mTables.Draw() * size)];
  return Score(*second, aNow) < Score(*first, aNow) ? second : first;
}

double EndpointChoice::Score(const EndpointRow& aEndpoint, TimePoint aNow) const
{
  const double slots = aEndpoint.Slots(mTables.mOptions.mDefaultSlots);
  return (aEndpoint.Load(aNow) + 1) / slots * aEndpoint.Slowness(aNow);
}

} // namespace skylarkchute
