#include "PlacementPolicy.h"

#include <algorithm>

namespace skylarkchute {

namespace {

/** An endpoint receives requests by affinity while its load is at most this multiple of the mean
    load plus a slack in requests. */
constexpr double kLoadBound = 1.3;
constexpr double kLoadSlack = 2.0;

/** Load, in requests, by which an endpoint of the instance's own availability zone may exceed the
    least loaded endpoint and still be preferred. */
constexpr double kZonePreference = 1.0;

struct Candidate
{
  FleetRow* mRow = nullptr;
  double mLoad = 0; /**< Estimated requests on the endpoint, scaled by its slowness. */
};

bool Contains(const std::vector<EndpointId>& aIds, const EndpointId& aId)
{
  return std::find(aIds.begin(), aIds.end(), aId) != aIds.end();
}

/** Returns the rows that are neither tried nor avoided, or all untried rows if every one of them is
    avoided. */
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

/** Returns the candidates with few recent failures, or all candidates if none of these has a free
    slot. */
std::vector<Candidate> WithoutUnreliable(const std::vector<Candidate>& aCandidates, TimePoint aNow)
{
  double least = 1;
  for (const auto& it : aCandidates) {
    least = std::min(least, it.mRow->mHealth.FailureRate(aNow));
  }
  std::vector<Candidate> reliable;
  bool hasFreeSlot = false;
  for (const auto& it : aCandidates) {
    if (!it.mRow->mHealth.IsUnreliable(aNow, least)) {
      reliable.push_back(it);
      hasFreeSlot = hasFreeSlot || it.mLoad < it.mRow->mEntry.mSlots;
    }
  }
  return hasFreeSlot ? reliable : aCandidates;
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
    const auto& it = aCandidates[(i + aRequest.mTieBreaker) % aCandidates.size()];
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
  if (!aRequest.mIsRetryable) {
    candidates = WithoutUnreliable(candidates, aNow);
  }
  if (!aRequest.mAffinity.empty()) {
    if (auto* row = ChooseByAffinity(candidates, aRequest.mAffinity)) {
      return row;
    }
  }
  return ChooseByLoad(candidates, aRequest);
}

} // namespace skylarkchute
