#include "PlacementPolicy.h"

#include <algorithm>

namespace skylarkchute {

namespace {

/** An endpoint keeps its subjects up to this multiple of the mean load, and a few requests more. */
constexpr double kLoadBound = 1.3;
constexpr double kLoadSlack = 2.0;

/** Load by which an endpoint of the own availability zone may exceed the least loaded one. */
constexpr double kZonePreference = 1.0;

struct Candidate
{
  FleetRow* mRow = nullptr;
  double mLoad = 0; /**< Requests held, scaled by how slowly the endpoint answers. */
};

bool Contains(const std::vector<EndpointId>& aIds, const EndpointId& aId)
{
  return std::find(aIds.begin(), aIds.end(), aId) != aIds.end();
}

/** Returns the rows that are worth an attempt: not tried and not avoided, else the best that is
    left. */
std::vector<Candidate> CandidatesOf(const std::vector<FleetRow*>& aRows,
                                    const PlacementRequest& aRequest,
                                    TimePoint aNow)
{
  std::vector<Candidate> untried;
  std::vector<Candidate> healthy;
  for (auto* it : aRows) {
    if (Contains(aRequest.mTried, it->mEntry.mId)) {
      continue;
    }
    const Candidate candidate{ it,
                               it->EstimatedLoad(aNow) * std::max(0.5, it->mHealth.Slowness()) };
    untried.push_back(candidate);
    if (it->mHealth.Allows(aNow)) {
      healthy.push_back(candidate);
    }
  }
  return healthy.empty() ? untried : healthy;
}

/** Returns those that failed least lately, or all when these have no free slot. */
std::vector<Candidate> WithoutDoubtful(const std::vector<Candidate>& aCandidates, TimePoint aNow)
{
  double least = 1;
  for (const auto& it : aCandidates) {
    least = std::min(least, it.mRow->mHealth.FailureRate(aNow));
  }
  std::vector<Candidate> sound;
  bool hasFreeSlot = false;
  for (const auto& it : aCandidates) {
    if (!it.mRow->mHealth.IsDoubtful(aNow, least)) {
      sound.push_back(it);
      hasFreeSlot = hasFreeSlot || it.mLoad < it.mRow->mEntry.mSlots;
    }
  }
  return hasFreeSlot ? sound : aCandidates;
}

FleetRow* ChooseByAffinity(const std::vector<Candidate>& aCandidates, const std::string& aAffinity)
{
  double sum = 0;
  for (const auto& it : aCandidates) {
    sum += it.mLoad;
  }
  const double bound = kLoadBound * sum / static_cast<double>(aCandidates.size()) + kLoadSlack;
  const Candidate* chosen = nullptr;
  std::uint64_t highest = 0;
  for (const auto& it : aCandidates) {
    const auto rank = StableHash(aAffinity, StableHash(it.mRow->mEntry.mId.Value()));
    if (it.mLoad <= bound && (chosen == nullptr || rank > highest)) {
      chosen = &it;
      highest = rank;
    }
  }
  return chosen == nullptr ? nullptr : chosen->mRow;
}

FleetRow* ChooseByLoad(const std::vector<Candidate>& aCandidates, const PlacementRequest& aRequest)
{
  const Candidate* chosen = nullptr;
  double least = 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const auto& it = aCandidates[(i + aRequest.mDraw) % aCandidates.size()];
    const bool isNear = it.mRow->mEntry.mZone == aRequest.mZone;
    const double load = it.mLoad + (isNear ? 0 : kZonePreference);
    if (chosen == nullptr || load < least) {
      chosen = &it;
      least = load;
    }
  }
  return chosen == nullptr ? nullptr : chosen->mRow;
}

} // namespace

FleetRow* PlacementPolicy::Choose(const std::vector<FleetRow*>& aRows,
                                  const PlacementRequest& aRequest,
                                  TimePoint aNow)
{
  auto candidates = CandidatesOf(aRows, aRequest, aNow);
  if (candidates.empty()) {
    return nullptr;
  }
  if (!aRequest.mIsRepeatable) {
    candidates = WithoutDoubtful(candidates, aNow);
  }
  if (!aRequest.mAffinity.empty()) {
    if (auto* row = ChooseByAffinity(candidates, aRequest.mAffinity)) {
      return row;
    }
  }
  return ChooseByLoad(candidates, aRequest);
}

} // namespace skylarkchute
