#include "FleetRouter.h"

#include <algorithm>

namespace skylarkchute {

void FleetRouter::OnSent(RequestPlan& aPlan, const AttemptPlan& aAttempt, TimePoint aNow)
{
  if (aAttempt.IsForwarded()) {
    return;
  }
  ++aPlan.mSends;
  if (!aAttempt.mIsConnectionReused) {
    mZones.OnConnected(
      aAttempt.mZone,
      std::chrono::duration_cast<std::chrono::microseconds>(aNow - aAttempt.mPlannedAt));
  }
  mRollouts.OnSent(aPlan.mService, aAttempt.mVersion, aPlan.mSession, aNow);
  const auto* order = mRollouts.Order(aPlan.mService);
  if (order != nullptr && order->mState == RolloutState::Running) {
    mAwaited[aAttempt.mNumber] = {
      aPlan.mService, aAttempt.mVersion, aPlan.mRoute->Class(), aAttempt.mLatencyKind, aNow, false
    };
  }
}

/** Counts the answers that are slow already, without waiting until they begin or are given up. */
void FleetRouter::CountOverdueAnswers(TimePoint aNow)
{
  for (auto& [number, answer] : mAwaited) {
    const auto age = std::chrono::duration_cast<std::chrono::microseconds>(aNow - answer.mSentAt);
    if (!answer.mIsCounted &&
        mLatencies.RelativeLatency(answer.mLatencyKind, age) > kSlowLatencyFactor) {
      answer.mIsCounted = true;
      mRollouts.OnAnswer(answer.mService, answer.mVersion, answer.mClass, { 1, 0, 1 });
    }
  }
}

/** Ends the wait for an answer.
    @returns whether it was counted as a slow one */
bool FleetRouter::EndWait(const AttemptPlan& aAttempt)
{
  const auto found = mAwaited.extract(aAttempt.mNumber);
  return !found.empty() && found.mapped().mIsCounted;
}

void FleetRouter::OnFirstByte(const RequestPlan& aPlan,
                              const AttemptPlan& aAttempt,
                              std::chrono::microseconds aLatency,
                              TimePoint aNow)
{
  if (aAttempt.IsForwarded()) {
    return;
  }
  OnReached();
  OnZoneReached(aAttempt.mZone, aNow);
  const double relative = mLatencies.RelativeLatency(aAttempt.mLatencyKind, aLatency);
  if (auto* row = mEndpoints.Find(aAttempt.mEndpoint)) {
    row->mHealth.OnSuccess(aNow, relative);
    if (row->mUsesFleetLoad && row->mEntry.mIncarnationStart == aAttempt.mIncarnationStart) {
      row->mPace.OnAnswer(relative, aNow);
    }
  }
  const auto* order = mRollouts.Order(aPlan.mService);
  const bool isTarget = order != nullptr && order->mState == RolloutState::Running &&
                        order->mTarget == aAttempt.mVersion;
  if (!isTarget) {
    mLatencies.Record(aAttempt.mLatencyKind, aLatency);
    RecordHedgeLatency(aPlan, aAttempt, aLatency);
  }
  const std::uint64_t slow = relative > kSlowLatencyFactor ? 1 : 0;
  if (!EndWait(aAttempt)) {
    mRollouts.OnAnswer(aPlan.mService, aAttempt.mVersion, aPlan.mRoute->Class(), { 1, 0, slow });
  }
}

void FleetRouter::OnLoad(const EndpointId& aEndpoint, const ReportedLoad& aLoad, TimePoint aNow)
{
  if (auto* row = mEndpoints.Find(aEndpoint)) {
    row->OnReport(aLoad, aNow, aNow);
    mBrittle.OnReport(*row, IsEngine(row->mEntry.mService), aNow);
    mAdmission.OnReport(*row);
  }
}

void FleetRouter::OnLoad(const AttemptPlan& aAttempt, const ReportedLoad& aLoad, TimePoint aNow)
{
  const auto* row = mEndpoints.Find(aAttempt.mEndpoint);
  if (row != nullptr && row->mEntry.mIncarnationStart == aAttempt.mIncarnationStart) {
    OnLoad(aAttempt.mEndpoint, aLoad, aNow);
  }
}

NoticeChange FleetRouter::OnNotice(const AttemptPlan& aAttempt,
                                   const EndpointNotice& aNotice,
                                   TimePoint aNow)
{
  auto* row = mEndpoints.Find(aAttempt.mEndpoint);
  if (row == nullptr || row->mEntry.mIncarnationStart != aAttempt.mIncarnationStart) {
    return {};
  }
  const auto change = row->mNotices.OnNotice(aNotice, aNow);
  if (aNotice.mCold) {
    row->mWarmth.OnStated(*aNotice.mCold, aNow);
  }
  if (change.mRejectionLimit) {
    mBrittle.Update(mEndpoints, aNow);
  }
  if (change.mLimit) {
    mEndpoints.UpdateLimitShares(mLimitShares, aNow);
  }
  return change;
}

/** Returns the mean failure rate of the other endpoints of a service. */
double FleetRouter::OthersFailureRate(const ServiceName& aService,
                                      const EndpointId& aEndpoint,
                                      TimePoint aNow) const
{
  double sum = 0;
  std::size_t count = 0;
  for (const auto& [id, row] : mEndpoints.All()) {
    if (row.mEntry.mService == aService && id != aEndpoint) {
      sum += row.mHealth.FailureRate(aNow);
      ++count;
    }
  }
  return count == 0 ? 0 : sum / static_cast<double>(count);
}

void FleetRouter::OnProgress(const RequestPlan& aPlan, TimePoint aNow)
{
  mPartSuspects.OnProof(aPlan.mSharedParts, aNow);
}

void FleetRouter::OnEndedEarly(const RequestPlan& aPlan,
                               const AttemptPlan& aAttempt,
                               RelayOutcome aOutcome,
                               TimePoint aNow)
{
  if (aAttempt.IsForwarded()) {
    return;
  }
  if (aOutcome == RelayOutcome::Lost) {
    mSuspects.OnLost({ aPlan.mFingerprint, aAttempt.Incarnation() }, aNow);
  }
  mPartSuspects.OnEndedEarly(aPlan.mSharedParts, aAttempt.Incarnation(), aNow);
}

void FleetRouter::OnEnded(RequestPlan& aPlan,
                          const AttemptPlan& aAttempt,
                          RelayOutcome aOutcome,
                          TimePoint aNow)
{
  if (aAttempt.IsForwarded()) {
    OnForwardEnded(aPlan, aAttempt, aOutcome, aNow);
    return;
  }
  if (MayHaveRun(aOutcome)) {
    ++aPlan.mRuns;
    mRollouts.OnEnded(aPlan.mService, aAttempt.mVersion, aPlan.mSession, aNow);
  }
  if (aOutcome == RelayOutcome::Unreachable || aOutcome == RelayOutcome::TimedOut ||
      aOutcome == RelayOutcome::Lost) {
    OnNotReached(aPlan, aAttempt, aNow);
    const bool isConnectFailure = aOutcome == RelayOutcome::Unreachable;
    if (isConnectFailure && mZones.IsInForce()) {
      aPlan.mZonesNotReached.push_back(aAttempt.mZone);
    }
    if (!isConnectFailure || !aAttempt.mWasConnected) {
      OnZoneNotReached(aAttempt.mEndpoint, aAttempt.Incarnation(), isConnectFailure, aNow);
    }
    if (auto* row = mEndpoints.Find(aAttempt.mEndpoint)) {
      mBrittle.OnNotReached(*row, mEndpoints);
    }
  }
  if (aOutcome == RelayOutcome::NotRun || aOutcome == RelayOutcome::Failed) {
    OnZoneReached(aAttempt.mZone, aNow);
  }
  const bool wasCountedSlow = EndWait(aAttempt);
  if (IsFailure(aOutcome)) {
    aPlan.mTried.push_back(aAttempt.mEndpoint);
  }
  auto* row = mEndpoints.Find(aAttempt.mEndpoint);
  if (row != nullptr) {
    row->mOutstanding -= std::min(row->mOutstanding, 1U);
    // How the attempts at a former incarnation end says nothing of the present one.
    const bool isFormer = row->mEntry.mIncarnationStart != aAttempt.mIncarnationStart;
    row = isFormer && UsesFleetLoad(aPlan.mService) ? nullptr : row;
  }
  if (row != nullptr) {
    if (UsesAdmission(aPlan.mService)) {
      mAdmission.OnEnded(*row, aOutcome, aNow);
    }
  }
  switch (aOutcome) {
    case RelayOutcome::Answered:
      mSuspects.OnSuccess(aPlan.mFingerprint);
      mPartSuspects.OnAnswered(aPlan.mSharedParts, aAttempt.Incarnation(), aNow);
      return;
    case RelayOutcome::NotRun:
      aPlan.mWasRejected = true;
      if (row != nullptr && mBrittle.IsBrittle(aPlan.mService)) {
        mBrittle.OnRejected(*row, Draw(), aNow);
      }
      return;
    case RelayOutcome::Superseded:
    case RelayOutcome::Overtaken:
    case RelayOutcome::Abandoned:
    case RelayOutcome::Misdirected:
      return;
    case RelayOutcome::Failed:
      mRollouts.OnAnswer(aPlan.mService, aAttempt.mVersion, aPlan.mRoute->Class(), { 1, 1, 0 });
      break;
    case RelayOutcome::Unreachable:
      if (row != nullptr) {
        row->mHealth.OnUnreachable(aNow);
      }
      return;
    case RelayOutcome::TimedOut:
      // Otherwise only the answers that were quick enough would count.
      if (!wasCountedSlow && !mForwarding.IsPartitioned() && !mZones.IsAvoided(aAttempt.mZone)) {
        mRollouts.OnAnswer(aPlan.mService, aAttempt.mVersion, aPlan.mRoute->Class(), { 1, 0, 1 });
      }
      break;
    case RelayOutcome::Lost:
    case RelayOutcome::Damaged:
      break;
  }
  if (row != nullptr && !aAttempt.mIsSilenceCounted) {
    row->mHealth.OnFailure(aNow, OthersFailureRate(aPlan.mService, aAttempt.mEndpoint, aNow));
  }
}

} // namespace skylarkchute
