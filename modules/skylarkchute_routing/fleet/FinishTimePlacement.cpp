#include "FinishTimePlacement.h"

#include <algorithm>
#include <cmath>

namespace skylarkchute {

namespace {

/** An endpoint has room if at least this many of its slots are expected to be free. */
constexpr double kMinFreeSlots = 0.5;

/** Requests of one affinity are spread over this multiple of the endpoints that their share of the
    traffic would fill, because these serve other requests too. */
constexpr double kSpread = 2;

/** Number of places after the first ones that are tried in the rendezvous order. */
constexpr std::size_t kFurtherPlaces = 2;

/** A place by affinity is taken while its time is at most this multiple of the usual one, plus the
    time that the cache saves, and at most kMaxAffinityTime in all. */
constexpr double kAffinityTime = 1.25;
constexpr double kMaxAffinityTime = 2;

/** Endpoints of other zones count as this much slower. */
constexpr double kOtherZoneTime = 1.03;

/** Number of endpoints that are compared for a request without affinity. */
constexpr int kChoices = 2;

/** Number of random draws of which up to kChoices with room are compared. */
constexpr int kDraws = 8;

/** Returns the next number of a sequence that begins with a random one. */
std::uint64_t NextRandom(std::uint64_t& aState)
{
  // SplitMix64.
  aState += 0x9E3779B97F4A7C15U;
  auto value = aState;
  value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9U;
  value = (value ^ (value >> 27U)) * 0x94D049BB133111EBU;
  return value ^ (value >> 31U);
}

} // namespace

/** Fills mCandidates with the untried rows, without the avoided ones unless all are.
    @returns whether there are any */
bool FinishTimePlacement::Collect(const std::vector<FleetRow*>& aRows,
                                  const FinishTimeRequest& aRequest,
                                  TimePoint aNow)
{
  const auto& tried = aRequest.mPlacement.mTried;
  mCandidates.clear();
  double load = 0;
  double slots = 0;
  double factors = 0;
  bool hasHealthy = false;
  for (auto* it : aRows) {
    if (std::find(tried.begin(), tried.end(), it->mEntry.mId) != tried.end()) {
      continue;
    }
    const double rowLoad = it->EstimatedLoad(aNow);
    const double rowSlots = it->Slots();
    const double factor = it->mPace.Factor(aNow);
    load += rowLoad;
    slots += rowSlots;
    factors += factor;
    Candidate candidate;
    candidate.mRow = it;
    candidate.mTime = factor * FleetRow::Crowding(rowLoad, rowSlots);
    candidate.mHasRoom = rowLoad + kMinFreeSlots <= rowSlots;
    candidate.mIsAvoided = !it->mHealth.Allows(aNow);
    hasHealthy = hasHealthy || !candidate.mIsAvoided;
    mCandidates.push_back(candidate);
  }
  if (mCandidates.empty()) {
    return false;
  }
  const double usual =
    factors / static_cast<double>(mCandidates.size()) * FleetRow::Crowding(load, slots);
  for (auto& it : mCandidates) {
    it.mTime /= usual;
  }
  if (hasHealthy) {
    std::erase_if(mCandidates, [](const Candidate& aOther) { return aOther.mIsAvoided; });
  }
  return true;
}

/** Removes the candidates with recent failures if one of the others has room. */
void FinishTimePlacement::KeepReliable(TimePoint aNow)
{
  double least = 1;
  for (const auto& it : mCandidates) {
    least = std::min(least, it.mRow->mHealth.FailureRate(aNow));
  }
  const auto isUnreliable = [&](const Candidate& aOther) {
    return aOther.mRow->mHealth.IsUnreliable(aNow, least);
  };
  const bool hasRoom =
    std::any_of(mCandidates.begin(), mCandidates.end(), [&](const Candidate& aOther) {
      return aOther.mHasRoom && !isUnreliable(aOther);
    });
  if (hasRoom) {
    std::erase_if(mCandidates, isUnreliable);
  }
}

FleetRow* FinishTimePlacement::ChooseByAffinity(const FinishTimeRequest& aRequest, TimePoint aNow)
{
  const auto& affinity = aRequest.mPlacement.mAffinity;
  const auto count = mCandidates.size();
  const double share =
    mRates[mCandidates.front().mRow->mEntry.mService].Count(StableHash(affinity), aNow);
  const auto width =
    std::min(count, 1 + static_cast<std::size_t>(kSpread * share * static_cast<double>(count)));
  const auto places = std::min(count, width + kFurtherPlaces);
  for (auto& it : mCandidates) {
    it.mOrder = StableHash(affinity, StableHash(it.mRow->mEntry.mId.Value()));
  }
  std::partial_sort(
    mCandidates.begin(),
    mCandidates.begin() + static_cast<std::ptrdiff_t>(places),
    mCandidates.end(),
    [](const Candidate& aLeft, const Candidate& aRight) { return aLeft.mOrder > aRight.mOrder; });
  const double usual = std::max(1.0, static_cast<double>(aRequest.mUsualTime.count()));
  const double saved = static_cast<double>(aRequest.mUncachedTime.count()) / usual;
  const double inTime = static_cast<double>(aRequest.mTimeLeft.count()) / usual;
  const double limit = std::min(inTime, std::min(kMaxAffinityTime, kAffinityTime + saved));
  const auto isAcceptable = [&](const Candidate& aCandidate) {
    return aCandidate.mHasRoom && aCandidate.mTime <= limit;
  };
  auto random = aRequest.mPlacement.mTieBreaker;
  const Candidate* chosen = nullptr;
  for (int n = 0; n < kChoices && width > 1; ++n) {
    const auto& it = mCandidates[NextRandom(random) % width];
    if (isAcceptable(it) && (chosen == nullptr || it.mTime < chosen->mTime)) {
      chosen = &it;
    }
  }
  for (std::size_t n = width > 1 ? width : 0; n < places && chosen == nullptr; ++n) {
    chosen = isAcceptable(mCandidates[n]) ? &mCandidates[n] : nullptr;
  }
  return chosen == nullptr ? nullptr : chosen->mRow;
}

FleetRow* FinishTimePlacement::ChooseByTime(const FinishTimeRequest& aRequest,
                                            std::uint64_t aRandom) const
{
  const auto timeOf = [&](const Candidate& aCandidate) {
    const bool isNear = aCandidate.mRow->mEntry.mZone == aRequest.mPlacement.mZone;
    return aCandidate.mTime * (isNear ? 1 : kOtherZoneTime);
  };
  const Candidate* chosen = nullptr;
  int compared = 0;
  for (int n = 0; n < kDraws && compared < kChoices; ++n) {
    const auto& it = mCandidates[NextRandom(aRandom) % mCandidates.size()];
    if (it.mHasRoom) {
      ++compared;
      chosen = chosen == nullptr || timeOf(it) < timeOf(*chosen) ? &it : chosen;
    }
  }
  if (chosen != nullptr) {
    return chosen->mRow;
  }
  // Few or none have room. Begins anywhere, so that the instances do not agree on equal ones.
  const auto first = NextRandom(aRandom);
  for (std::size_t n = 0; n < mCandidates.size(); ++n) {
    const auto& it = mCandidates[(first + n) % mCandidates.size()];
    if (chosen == nullptr || (it.mHasRoom && !chosen->mHasRoom) ||
        (it.mHasRoom == chosen->mHasRoom && timeOf(it) < timeOf(*chosen))) {
      chosen = &it;
    }
  }
  return chosen->mHasRoom || !aRequest.mWasRejected ? chosen->mRow : nullptr;
}

FleetRow* FinishTimePlacement::Choose(const std::vector<FleetRow*>& aRows,
                                      const FinishTimeRequest& aRequest,
                                      TimePoint aNow)
{
  if (!Collect(aRows, aRequest, aNow)) {
    return nullptr;
  }
  if (!aRequest.mPlacement.mIsRetryable) {
    KeepReliable(aNow);
  }
  if (!aRequest.mPlacement.mAffinity.empty()) {
    if (auto* row = ChooseByAffinity(aRequest, aNow)) {
      return row;
    }
  }
  return ChooseByTime(aRequest, aRequest.mPlacement.mTieBreaker);
}

} // namespace skylarkchute
