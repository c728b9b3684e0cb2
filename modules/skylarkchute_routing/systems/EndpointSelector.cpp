#include "EndpointSelector.h"

#include <algorithm>

namespace skylarkchute {

namespace {

/** Prefix affinity applies while the load of the endpoint is at most this multiple of the mean
    load of the candidates. */
constexpr double kAffinityLoadBound = 1.25;

/** Returns the key of a request for prefix affinity; empty when it has none. */
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

bool EndpointSelector::HasCapacity(const PoolRow& aPool, TimePoint aNow)
{
  return std::any_of(aPool.mMembers.begin(), aPool.mMembers.end(), [&](const EndpointId& aId) {
    const auto* endpoint = mTables.mEndpoints.Find(aId);
    return endpoint != nullptr && endpoint->CanAcceptAttempt(aNow, mTables.mOptions.mDefaultSlots);
  });
}

double EndpointSelector::FreeCapacity(const PoolRow& aPool, TimePoint aNow)
{
  const auto slots = mTables.mOptions.mDefaultSlots;
  double capacity = 0;
  for (const auto* it : WithCapacity(aPool, aNow)) {
    capacity += it->Window(slots) - it->mInFlight;
  }
  return capacity;
}

double EndpointSelector::ConcurrencyWindow(const PoolRow& aPool)
{
  double window = 0;
  for (const auto& it : aPool.mMembers) {
    const auto* endpoint = mTables.mEndpoints.Find(it);
    window += endpoint == nullptr ? 0 : endpoint->Window(mTables.mOptions.mDefaultSlots);
  }
  return window;
}

EndpointRow* EndpointSelector::Choose(const RequestRow& aRow, const PoolRow& aPool, TimePoint aNow)
{
  if (auto* endpoint = ChooseUntried(aRow, aPool, aNow)) {
    return endpoint;
  }
  return ChooseAmong(aRow, WithCapacity(aPool, aNow), aNow);
}

EndpointRow* EndpointSelector::ChooseUntried(const RequestRow& aRow,
                                             const PoolRow& aPool,
                                             TimePoint aNow)
{
  auto candidates = WithCapacity(aPool, aNow);
  std::erase_if(candidates, [&](const EndpointRow* aIt) { return WasTried(aRow, *aIt); });
  return ChooseAmong(aRow, candidates, aNow);
}

EndpointSelector::Candidates EndpointSelector::WithCapacity(const PoolRow& aPool, TimePoint aNow)
{
  Candidates candidates;
  for (const auto& it : aPool.mMembers) {
    auto* endpoint = mTables.mEndpoints.Find(it);
    if (endpoint != nullptr && endpoint->CanAcceptAttempt(aNow, mTables.mOptions.mDefaultSlots)) {
      candidates.push_back(endpoint);
    }
  }
  return candidates;
}

EndpointRow* EndpointSelector::ChooseAmong(const RequestRow& aRow,
                                           const Candidates& aCandidates,
                                           TimePoint aNow)
{
  if (aCandidates.empty()) {
    return nullptr;
  }
  Candidates ownZone;
  for (auto* it : aCandidates) {
    if (it->mRecord.mZone == mTables.mOptions.mZone) {
      ownZone.push_back(it);
    }
  }
  const auto& candidates = ownZone.empty() ? aCandidates : ownZone;
  if (auto* endpoint = ChooseByPrefix(AffinityKey(aRow), candidates, aNow)) {
    ++mTables.mCounters.mAffinityHits;
    return endpoint;
  }
  return ChooseByTwoRandom(candidates, aNow);
}

EndpointRow* EndpointSelector::ChooseByPrefix(const std::string& aKey,
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

EndpointRow* EndpointSelector::ChooseByTwoRandom(const Candidates& aCandidates, TimePoint aNow)
{
  const auto size = static_cast<double>(aCandidates.size());
  auto* first = aCandidates[static_cast<std::size_t>(mTables.Draw() * size)];
  auto* second = aCandidates[static_cast<std::size_t>(mTables.Draw() * size)];
  return Score(*second, aNow) < Score(*first, aNow) ? second : first;
}

double EndpointSelector::Score(const EndpointRow& aEndpoint, TimePoint aNow) const
{
  const double slots = aEndpoint.Slots(mTables.mOptions.mDefaultSlots);
  return (aEndpoint.Load(aNow) + 1) / slots * aEndpoint.Slowness(aNow);
}

} // namespace skylarkchute
