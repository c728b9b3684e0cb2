#include "FleetRouter.h"

#include "RequestTimes.h"

#include <algorithm>

namespace skylarkchute {

namespace {

/** Maximum number of attempts of a request through another instance. */
constexpr std::uint32_t kMaxForwards = 4;

} // namespace

/** Returns whether a request is to go through another instance, because this one does not reach the
    endpoints. */
bool FleetRouter::PrefersForwarding(const RequestPlan& aPlan, TimePoint aNow)
{
  if (aPlan.mIsForwarded || aPlan.mForwards >= kMaxForwards) {
    return false;
  }
  if (aPlan.mNotReached >= kMaxNotReached) {
    return true;
  }
  // A request that fails to reach an endpoint has not run, so that any request may be the test.
  const bool mayProbe = aPlan.mNotReached == 0 && aPlan.mRuns == 0;
  return mForwarding.IsPartitioned() && !(mayProbe && mForwarding.TakeProbe(aNow));
}

/** Returns the endpoints that a request may use by their zones. */
ZoneSelection FleetRouter::SelectZones(const RequestPlan& aPlan,
                                       const std::vector<FleetRow*>& aRows,
                                       bool aWantsLargest,
                                       TimePoint aNow)
{
  const bool mayProbe = !aWantsLargest && aPlan.mRuns == 0 && aPlan.mNotReached == 0 &&
                        aPlan.mForwards == 0 && !aPlan.mIsForwarded && !aPlan.mIsContinuation;
  return mZones.Select(aRows,
                       { mZone,
                         aPlan.mTried,
                         aPlan.mZonesNotReached,
                         mayProbe,
                         Until(aPlan.mTarget, aNow),
                         Until(aPlan.mEnd, aNow) },
                       aNow);
}

void FleetRouter::OnZoneReached(const ZoneName& aZone, TimePoint aNow)
{
  if (!mZones.OnReached(aZone, aNow)) {
    return;
  }
  for (auto& [id, row] : mEndpoints.All()) {
    if (row.mEntry.mZone == aZone) {
      row.mHealth.OnPartitionEnded();
    }
  }
}

/** Records that an endpoint could not be reached, unless this is explained: it leaves or has
   started again. */
void FleetRouter::OnZoneNotReached(const EndpointId& aEndpoint,
                                   const std::string& aIncarnation,
                                   bool aIsConnectFailure,
                                   TimePoint aNow)
{
  const auto* row = mZones.IsInForce() ? mEndpoints.Find(aEndpoint) : nullptr;
  if (row == nullptr || !row->IsOpen() || mEndpoints.IsEvacuated(row->mEntry.mZone) ||
      row->mEntry.Incarnation() != aIncarnation) {
    return;
  }
  const auto& rows = mEndpoints.All();
  const auto count = std::count_if(rows.begin(), rows.end(), [&](const auto& aEntry) {
    return aEntry.second.IsOpen() && aEntry.second.mEntry.mZone == row->mEntry.mZone;
  });
  mZones.OnNotReached(row->mEntry, aIsConnectFailure, static_cast<std::size_t>(count), aNow);
}

std::optional<AttemptPlan> FleetRouter::PlanForward(RequestPlan& aPlan,
                                                    TimePoint aNow,
                                                    const std::vector<ZoneName>& aZones)
{
  const auto mayReceive = [&](const ZoneName& aPeer) {
    return mFilter.MayForward(aPlan, mZone, aPeer);
  };
  auto* peer = mForwarding.Choose(mRandom(), aNow, aZones, mayReceive, aPlan.mTried);
  if (peer == nullptr || !TakeBudget(aPlan, aNow)) {
    return std::nullopt;
  }
  ++peer->mOutstanding;
  ++aPlan.mForwards;
  AttemptPlan attempt;
  attempt.mNumber = ++mAttempts;
  attempt.mPeer = peer->mName;
  attempt.mEndpoint = EndpointId(peer->mName);
  attempt.mAddress = peer->mAddress;
  attempt.mLatencyKind = LatencyKindOf(aPlan, std::nullopt);
  return attempt;
}

void FleetRouter::OnReached()
{
  if (!mForwarding.OnReached()) {
    return;
  }
  for (auto& [id, row] : mEndpoints.All()) {
    row.mHealth.OnPartitionEnded();
  }
}

void FleetRouter::OnNotReached(RequestPlan& aPlan, const AttemptPlan& aAttempt, TimePoint aNow)
{
  ++aPlan.mNotReached;
  mForwarding.OnNotReached(aAttempt.mEndpoint, mEndpoints.All().size(), aNow);
}

void FleetRouter::OnForwardEnded(RequestPlan& aPlan,
                                 const AttemptPlan& aAttempt,
                                 RelayOutcome aOutcome,
                                 TimePoint aNow)
{
  const bool wasRejected =
    aOutcome == RelayOutcome::Unreachable || aOutcome == RelayOutcome::NotRun;
  aPlan.mRuns += MayHaveRun(aOutcome) ? 1 : 0;
  if (IsFailure(aOutcome)) {
    aPlan.mTried.push_back(aAttempt.mEndpoint);
  }
  mForwarding.OnEnded(aAttempt.mPeer, wasRejected, aNow);
}

void FleetRouter::OnSilence(const RequestPlan& aPlan, AttemptPlan& aAttempt, TimePoint aNow)
{
  aAttempt.mIsSilenceCounted = true;
  if (!aAttempt.IsForwarded()) {
    mForwarding.OnNotReached(aAttempt.mEndpoint, mEndpoints.All().size(), aNow);
    OnZoneNotReached(aAttempt.mEndpoint, aAttempt.Incarnation(), false, aNow);
  }
  auto* row = mEndpoints.Find(aAttempt.mEndpoint);
  const bool isFormer = row != nullptr && !aAttempt.IsForwarded() &&
                        row->mEntry.mIncarnationStart != aAttempt.mIncarnationStart &&
                        UsesFleetLoad(aPlan.mService);
  if (row != nullptr && !isFormer) {
    row->mHealth.OnFailure(aNow, OthersFailureRate(aPlan.mService, aAttempt.mEndpoint, aNow));
  }
}

std::vector<CrashSuspects::Crash> FleetRouter::OnEndpointDown(const EndpointId& aEndpoint,
                                                              const std::string& aIncarnation,
                                                              TimePoint aNow)
{
  if (auto* row = mEndpoints.Find(aEndpoint)) {
    row->mHealth.OnUnreachable(aNow);
    OnZoneNotReached(aEndpoint, aIncarnation, true, aNow);
    if (mZones.IsAvoided(row->mEntry.mZone)) {
      // The connections to the whole zone were lost, so the requests are not the cause.
      OnEndpointUp(aIncarnation);
      return {};
    }
  }
  mPartSuspects.OnEndpointDown(aIncarnation, aNow);
  return mSuspects.OnEndpointDown(aIncarnation, aNow);
}

void FleetRouter::OnEndpointUp(const std::string& aIncarnation)
{
  mSuspects.OnEndpointUp(aIncarnation);
  mPartSuspects.OnEndpointUp(aIncarnation);
}

} // namespace skylarkchute
