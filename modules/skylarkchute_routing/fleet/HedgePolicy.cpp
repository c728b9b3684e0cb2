#include "HedgePolicy.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

/** Latencies kept of each kind: enough for the highest percentile, 1 KB. */
constexpr std::size_t kSamples = 256;

/** Kinds whose latencies are kept, which bounds them to 256 KB. */
constexpr std::size_t kMaxKinds = 256;

/** Limits of the percentile at which a request is slow. Below the first, ordinary requests would be
    doubled; above the second, kSamples latencies do not determine it. */
constexpr double kMinPercentile = 0.9;
constexpr double kMaxPercentile = 0.99;

/** A shorter delay is within the usual variation of a round trip. */
constexpr milliseconds kMinDelay{ 5 };

std::string_view MachineOf(const FleetRow& aRow)
{
  const std::string_view address = aRow.mEntry.mAddress;
  return address.substr(0, address.rfind(':'));
}

template<typename Predicate>
std::vector<FleetRow*> Select(const std::vector<FleetRow*>& aRows, const Predicate& aPredicate)
{
  std::vector<FleetRow*> selected;
  std::copy_if(aRows.begin(), aRows.end(), std::back_inserter(selected), aPredicate);
  return selected;
}

} // namespace

std::string_view HedgeLimitName(HedgeLimit aLimit)
{
  switch (aLimit) {
    case HedgeLimit::Share:
      return "share";
    case HedgeLimit::RetryBudget:
      return "retry-budget";
    case HedgeLimit::Attempts:
      return "attempts";
    case HedgeLimit::Suspect:
      return "suspect";
    case HedgeLimit::Partition:
      return "partition";
    case HedgeLimit::Rollout:
      return "rollout";
    case HedgeLimit::Room:
      return "room";
    case HedgeLimit::NoEndpoint:
      return "no-endpoint";
  }
  return "no-endpoint";
}

void HedgePolicy::SetBound(const HedgeBound& aBound)
{
  mBound = aBound;
  std::erase_if(mSaved, [this](const auto& aEntry) { return !IsEnabled(aEntry.first); });
  if (mBound.mShare <= 0) {
    mSamples.clear();
  }
}

bool HedgePolicy::IsEnabled(const ServiceName& aService) const
{
  return mBound.mShare > 0 && (mBound.mServices.empty() || mBound.mServices.count(aService) > 0);
}

void HedgePolicy::OnRequest(const ServiceName& aService)
{
  if (IsEnabled(aService)) {
    auto& saved = mSaved[aService];
    saved = std::min(saved + mBound.mShare, kMaxSaved);
  }
}

HedgePolicy::Key HedgePolicy::KeyOf(const LatencyKind& aKind)
{
  return { aKind.mName, static_cast<std::size_t>(std::bit_width(aKind.mPromptTokens)) };
}

void HedgePolicy::Record(const ServiceName& aService,
                         const LatencyKind& aKind,
                         std::chrono::microseconds aLatency)
{
  if (!IsEnabled(aService)) {
    return;
  }
  const auto key = KeyOf(aKind);
  if (mSamples.size() >= kMaxKinds && mSamples.find(key) == mSamples.end()) {
    mSamples.clear();
  }
  auto& samples = mSamples[key];
  const auto ms = std::chrono::duration<float, std::milli>(aLatency).count();
  if (samples.mMs.size() < kSamples) {
    samples.mMs.push_back(ms);
    return;
  }
  samples.mMs[samples.mNext] = ms;
  samples.mNext = (samples.mNext + 1) % kSamples;
}

std::optional<milliseconds> HedgePolicy::Delay(const LatencyKind& aKind) const
{
  const auto found = mSamples.find(KeyOf(aKind));
  if (found == mSamples.end() || found->second.mMs.size() < kMinSamples) {
    return std::nullopt;
  }
  auto sorted = found->second.mMs;
  const double percentile = std::clamp(1 - mBound.mShare, kMinPercentile, kMaxPercentile);
  const auto rank =
    static_cast<std::ptrdiff_t>(std::ceil(percentile * static_cast<double>(sorted.size()))) - 1;
  std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
  const auto ms = std::ceil(sorted[static_cast<std::size_t>(rank)]);
  return std::max(kMinDelay, milliseconds(static_cast<std::int64_t>(ms)));
}

bool HedgePolicy::HasShare(const ServiceName& aService) const
{
  const auto found = mSaved.find(aService);
  return found != mSaved.end() && found->second >= 1;
}

void HedgePolicy::TakeShare(const ServiceName& aService)
{
  mSaved[aService] -= 1;
}

bool HedgePolicy::Fits(const HedgeRoom& aRoom)
{
  const bool fitsMemory = aRoom.mFreeTokens <= 0 || aRoom.mTokens <= kRoomShare * aRoom.mFreeTokens;
  return kRoomShare * aRoom.mFreeSlots >= 1 && fitsMemory;
}

std::vector<FleetRow*> HedgePolicy::Permitted(const std::vector<FleetRow*>& aRows,
                                              const std::vector<EndpointId>& aTried,
                                              milliseconds aWarmup,
                                              TimePoint aNow)
{
  return Select(aRows, [&](FleetRow* aRow) {
    aRow->mWarmth.Update(aWarmup, aNow);
    const bool isTried = std::find(aTried.begin(), aTried.end(), aRow->mEntry.mId) != aTried.end();
    const bool isQueueing = aRow->HasFreshReport(aNow) && aRow->mReport.mWaiting > 0;
    const bool isFull = isQueueing || aRow->EstimatedLoad(aNow) + 1 > aRow->mEntry.mSlots;
    const bool isLimited = aRow->mNotices.Limit() || !aRow->mNotices.Allows(aNow);
    return aRow->IsOpen() && aRow->mHealth.Allows(aNow) && !isTried && !isFull && !isLimited &&
           !aRow->mWarmth.IsCold(aNow);
  });
}

std::vector<FleetRow*> HedgePolicy::Apart(const std::vector<FleetRow*>& aRows,
                                          const FleetRow* aFirst)
{
  if (aFirst == nullptr) {
    return aRows;
  }
  auto rows =
    Select(aRows, [&](const FleetRow* aRow) { return aRow->mEntry.mZone != aFirst->mEntry.mZone; });
  if (rows.empty()) {
    rows =
      Select(aRows, [&](const FleetRow* aRow) { return MachineOf(*aRow) != MachineOf(*aFirst); });
  }
  return rows.empty() ? aRows : rows;
}

} // namespace skylarkchute
