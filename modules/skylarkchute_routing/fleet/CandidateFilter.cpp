#include "CandidateFilter.h"

#include <algorithm>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

const RelayService* ServiceOf(const RequestPlan& aPlan)
{
  return aPlan.mConfig->FindService(aPlan.mService);
}

bool IsListed(const std::vector<RegionName>& aRegions, const RegionName& aRegion)
{
  return aRegions.empty() || std::find(aRegions.begin(), aRegions.end(), aRegion) != aRegions.end();
}

} // namespace

bool CandidateFilter::IsAllowed(const RequestPlan& aPlan, const ZoneName& aZone) const
{
  static const std::vector<RegionName> kAny;
  const auto& ofRoute = aPlan.mRoute->mAllowedRegions;
  const auto& ofTeam = aPlan.mTeam != nullptr ? aPlan.mTeam->mAllowedRegions : kAny;
  if (ofRoute.empty() && ofTeam.empty()) {
    return true;
  }
  const auto found = mRegions.find(aZone);
  return found != mRegions.end() && IsListed(ofRoute, found->second) &&
         IsListed(ofTeam, found->second);
}

bool CandidateFilter::MayForward(const RequestPlan& aPlan,
                                 const ZoneName& aOwn,
                                 const ZoneName& aPeer) const
{
  const auto own = mRegions.find(aOwn);
  const auto peer = mRegions.find(aPeer);
  const bool isOwnRegion =
    own != mRegions.end() && peer != mRegions.end() && own->second == peer->second;
  return aOwn == aPeer || isOwnRegion || IsAllowed(aPlan, aPeer);
}

void CandidateFilter::RemoveForbidden(std::vector<FleetRow*>& aRows, const RequestPlan& aPlan) const
{
  std::erase_if(aRows, [&](FleetRow* aRow) { return !IsAllowed(aPlan, aRow->mEntry.mZone); });
}

void CandidateFilter::RemoveBusy(const CandidateLimits& aLimits,
                                 std::vector<FleetRow*>& aRows,
                                 const RequestPlan& aPlan,
                                 const std::function<double()>& aDraw,
                                 TimePoint aNow)
{
  const auto* service = ServiceOf(aPlan);
  std::erase_if(aRows, [&](FleetRow* aRow) {
    return !aRow->mNotices.Allows(aNow) || !aLimits.mPacing.Allows(*aRow, service, aNow);
  });
  if (aLimits.mBrittle.IsBrittle(aPlan.mService)) {
    aLimits.mBrittle.RemoveFull(aRows, { aPlan.mRank, aPlan.mWasRejected, aDraw() }, aNow);
  }
}

milliseconds CandidateFilter::WaitTime(const CandidateLimits& aLimits,
                                       const std::vector<FleetRow*>& aRows,
                                       const RequestPlan& aPlan,
                                       TimePoint aNow)
{
  const auto* service = ServiceOf(aPlan);
  auto wait = milliseconds::max();
  for (auto* it : aRows) {
    wait = std::min(
      wait, std::max(it->mNotices.WaitTime(aNow), aLimits.mPacing.WaitTime(*it, service, aNow)));
  }
  return std::max(wait, aLimits.mBrittle.WaitTime(aRows, aNow));
}

void CandidateFilter::OnRequest(const CandidateLimits& aLimits,
                                FleetRow& aRow,
                                const RequestPlan& aPlan,
                                TimePoint aNow)
{
  aRow.mNotices.OnRequest(aNow);
  aLimits.mPacing.OnRequest(aRow, ServiceOf(aPlan), aNow);
}

} // namespace skylarkchute
