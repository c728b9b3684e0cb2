#include "FleetRouter.h"

#include "PlacementPolicy.h"

namespace skylarkchute {

namespace {

/** Returns the requests whose latencies are compared: those of the same route and model with
   similar prompt length. Unknown models that a caller names count as one, which bounds the kinds.
 */
LatencyKind HedgeKindOf(const RequestPlan& aPlan, const AttemptPlan& aAttempt)
{
  auto model = aAttempt.mModel;
  const auto* service = aPlan.mConfig->FindService(aPlan.mService);
  if (model.Value().empty() && service != nullptr) {
    for (const auto& it : service->mModels) {
      if (it.mName.Value() == aPlan.mModel) {
        model = it.mName;
      }
    }
  }
  return { aPlan.mService.Value() + '/' + aPlan.mRoute->mName + '/' + model.Value(),
           aPlan.mPromptTokens };
}

} // namespace

std::optional<std::chrono::milliseconds> FleetRouter::HedgeDelay(const RequestPlan& aPlan,
                                                                 const AttemptPlan& aAttempt,
                                                                 TimePoint aNow) const
{
  // A later attempt is a second copy already, and the caller of a continuation has its beginning.
  const bool isFirst = aPlan.mSends == 1 && aPlan.mRuns == 0 && !aPlan.mIsContinuation;
  if (!mHedging.IsEnabled(aPlan.mService) || !isFirst || aPlan.mMaxRuns < 2 ||
      !aPlan.mRoute->IsRetryable() || aPlan.mIsForwarded || aAttempt.IsForwarded()) {
    return std::nullopt;
  }
  const auto delay = mHedging.Delay(HedgeKindOf(aPlan, aAttempt));
  // A request that was slow in this instance's own queue is not slow because of its endpoint.
  if (!delay || aNow - aPlan.mArrival > *delay || aNow + *delay >= aPlan.mEnd) {
    return std::nullopt;
  }
  return delay;
}

HedgeRoom FleetRouter::HedgeRoomOf(const RequestPlan& aPlan,
                                   const std::vector<FleetRow*>& aRows,
                                   TimePoint aNow) const
{
  double slots = 0;
  for (const auto* it : aRows) {
    slots += it->mEntry.mSlots;
  }
  const double free = std::max(0.0, 1 - mEndpoints.Pressure(aPlan.mService, aNow));
  const auto* service = aPlan.mConfig->FindService(aPlan.mService);
  const auto memory = service == nullptr ? 0 : service->mEngineTokens * aRows.size();
  return { free * slots,
           free * static_cast<double>(memory),
           static_cast<double>(aPlan.mPromptTokens + aPlan.mMaxOutputTokens) };
}

std::variant<AttemptPlan, HedgeLimit> FleetRouter::PlanHedge(const RequestPlan& aPlan,
                                                             const AttemptPlan& aFirst,
                                                             TimePoint aNow)
{
  if (!mHedging.HasShare(aPlan.mService)) {
    return HedgeLimit::Share;
  }
  if (aPlan.mRuns + 2 > aPlan.mMaxRuns) {
    return HedgeLimit::Attempts;
  }
  if (IsSuspect(aPlan, aNow) || mPartSuspects.IsRefused(aPlan.mSharedParts, aNow)) {
    return HedgeLimit::Suspect;
  }
  if (mForwarding.IsPartitioned()) {
    return HedgeLimit::Partition;
  }
  // A slow version would lose its slow answers to the copies and pass its trial.
  const auto* order = mRollouts.Order(aPlan.mService);
  if (order != nullptr && order->mState == RolloutState::Running) {
    return HedgeLimit::Rollout;
  }
  auto rows = mEndpoints.OpenRows(aPlan.mService);
  if (mAdmission.HasWaiting(aPlan.mService) || !HedgePolicy::Fits(HedgeRoomOf(aPlan, rows, aNow))) {
    return HedgeLimit::Room;
  }
  mFilter.RemoveForbidden(rows, aPlan);
  mRollouts.SelectVersion(aPlan.mService, aPlan.mSession, rows, aNow);
  auto copy = aPlan;
  copy.mTried.push_back(aFirst.mEndpoint);
  copy.mSize = aFirst.mSize;
  const auto* service = aPlan.mConfig->FindService(aPlan.mService);
  const auto warmup = service == nullptr ? std::chrono::milliseconds(0) : service->mWarmup;
  rows = mHedging.Permitted(rows, copy.mTried, warmup, aNow);
  const bool usesAdmission = UsesAdmission(aPlan.mService);
  std::erase_if(rows, [&](FleetRow* aRow) {
    return IsCold(*aRow, aNow) || (usesAdmission && !mAdmission.HasSpareRoom(*aRow, aNow));
  });
  if (mBrittle.IsBrittle(aPlan.mService)) {
    mBrittle.RemoveFull(rows, { aPlan.mRank, aPlan.mWasRejected, Draw() }, aNow);
  }
  if (mZones.IsInForce()) {
    auto selection = SelectZones(copy, rows, true, aNow);
    rows = selection.mAreAllAvoided ? std::vector<FleetRow*>{} : std::move(selection.mRows);
  }
  rows = HedgePolicy::Apart(rows, mEndpoints.Find(aFirst.mEndpoint));
  auto* row = ChooseRow(copy, rows, aNow);
  if (row == nullptr) {
    return HedgeLimit::NoEndpoint;
  }
  if (!mRetryWindows[aPlan.mService].TakeHedge(aNow, mBounds.mRetry, mInstances)) {
    return HedgeLimit::RetryBudget;
  }
  mHedging.TakeShare(aPlan.mService);
  row->OnPlanned(aNow);
  if (usesAdmission) {
    mAdmission.OnPlanned(copy, *row, aNow);
  }
  mFilter.OnRequest(Limits(), *row, copy, aNow);
  return PlanFor(copy, *row, aNow);
}

void FleetRouter::RecordHedgeLatency(const RequestPlan& aPlan,
                                     const AttemptPlan& aAttempt,
                                     std::chrono::microseconds aLatency)
{
  if (mHedging.IsEnabled(aPlan.mService)) {
    mHedging.Record(aPlan.mService, HedgeKindOf(aPlan, aAttempt), aLatency);
  }
}

void FleetRouter::OnOvertaken(const RequestPlan& aPlan,
                              AttemptPlan& aAttempt,
                              std::chrono::microseconds aElapsed,
                              TimePoint aNow)
{
  RecordHedgeLatency(aPlan, aAttempt, aElapsed);
  if (mLatencies.RelativeLatency(aAttempt.mLatencyKind, aElapsed) > kSlowLatencyFactor) {
    OnSilence(aPlan, aAttempt, aNow);
  }
}

} // namespace skylarkchute
