#include "ColdEndpointPacing.h"

#include <algorithm>
#include <cmath>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSecond{ 1000 };

/** Added to the interval of an instance, since requests are delayed differently on the way and two
    of them must not arrive within the interval. */
constexpr milliseconds kJitter{ 50 };

} // namespace

void ColdEndpointPacing::SetInstances(InstanceId aSelf,
                                      std::optional<std::vector<InstanceId>> aPossible)
{
  if (aSelf == mSelf && aPossible == mPossible) {
    return;
  }
  mSelf = std::move(aSelf);
  mPossible = std::move(aPossible);
  mRanks.clear();
}

bool ColdEndpointPacing::Paces(const RelayService* aService) const
{
  return mBound && aService != nullptr && aService->mColdRate > 0;
}

bool ColdEndpointPacing::IsCold(FleetRow& aRow, const RelayService* aService, TimePoint aNow) const
{
  if (!Paces(aService)) {
    return false;
  }
  aRow.mWarmth.Update(aService->mWarmup, aNow);
  return aRow.mWarmth.IsCold(aNow);
}

std::optional<milliseconds> ColdEndpointPacing::Interval(const EndpointId& aEndpoint, double aRate)
{
  const auto instances = mPossible->size();
  const auto whole = std::max<std::size_t>(1, static_cast<std::size_t>(std::min(aRate, 1e6)));
  const auto users = std::min(instances, whole);
  const auto [found, isNew] = mRanks.try_emplace(aEndpoint, 0);
  if (isNew) {
    const auto order = RendezvousOrder(aEndpoint.Value(), *mPossible, users);
    found->second =
      static_cast<std::size_t>(std::find(order.begin(), order.end(), mSelf) - order.begin());
  }
  if (found->second >= users) {
    return std::nullopt;
  }
  const std::size_t each = whole / users;
  // Below one in a second, the single user sends more rarely than the slack would allow.
  const auto perSecond = aRate < 1 ? aRate : static_cast<double>(each);
  return milliseconds(static_cast<std::int64_t>(std::ceil(kSecond.count() / perSecond))) + kJitter;
}

/** Returns when this instance may send to a cold endpoint; after it has become warm if never. */
TimePoint ColdEndpointPacing::NextSend(FleetRow& aRow, const RelayService& aService, TimePoint aNow)
{
  auto& warmth = aRow.mWarmth;
  const auto interval =
    mPossible ? Interval(aRow.mEntry.mId, aService.mColdRate) : std::optional<milliseconds>();
  if (!interval) {
    warmth.mNextSend.reset();
    return warmth.ColdUntil();
  }
  if (!warmth.mNextSend) {
    const auto phase = std::uniform_real_distribution<double>(0, 1)(mRandom);
    warmth.mNextSend = aNow + std::chrono::duration_cast<milliseconds>(*interval * phase);
  }
  return *warmth.mNextSend;
}

bool ColdEndpointPacing::Allows(FleetRow& aRow, const RelayService* aService, TimePoint aNow)
{
  return WaitTime(aRow, aService, aNow) <= milliseconds(0);
}

milliseconds ColdEndpointPacing::WaitTime(FleetRow& aRow,
                                          const RelayService* aService,
                                          TimePoint aNow)
{
  if (!IsCold(aRow, aService, aNow)) {
    aRow.mWarmth.mNextSend.reset();
    return milliseconds(0);
  }
  const auto next = std::min(NextSend(aRow, *aService, aNow), aRow.mWarmth.ColdUntil());
  return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(next - aNow));
}

void ColdEndpointPacing::OnRequest(FleetRow& aRow, const RelayService* aService, TimePoint aNow)
{
  if (!mPossible || !IsCold(aRow, aService, aNow)) {
    return;
  }
  if (const auto interval = Interval(aRow.mEntry.mId, aService->mColdRate)) {
    aRow.mWarmth.mNextSend = aNow + *interval;
  }
}

std::vector<std::pair<EndpointId, milliseconds>>
ColdEndpointPacing::TakeBecameCold(FleetTable& aTable, const ConfigIndex& aConfig, TimePoint aNow)
{
  std::vector<std::pair<EndpointId, milliseconds>> cold;
  if (!mBound) {
    return cold;
  }
  for (auto& [id, row] : aTable.All()) {
    const bool isCold = IsCold(row, aConfig.FindService(row.mEntry.mService), aNow);
    if (!std::exchange(row.mWarmth.mWasCold, isCold) && isCold) {
      cold.emplace_back(id, std::chrono::ceil<milliseconds>(row.mWarmth.ColdUntil() - aNow));
    }
  }
  return cold;
}

} // namespace skylarkchute
