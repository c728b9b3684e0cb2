#include "RouteExplainer.h"

#include <algorithm>

namespace skylarkchute {

using std::chrono::milliseconds;

RouteExplanation RouteExplainer::Explain(const RelayRequest& aRequest, TimePoint aNow) const
{
  RouteExplanation explanation;
  DescribeRoute(aRequest, explanation);
  FleetRouter copy(mRouter);
  auto admitted = copy.Admit(aRequest, aNow);
  if (const auto* refusal = std::get_if<RelayRefusal>(&admitted)) {
    explanation.mDecision = *refusal;
    return explanation;
  }
  auto& plan = std::get<RequestPlan>(admitted);
  explanation.mPlan = plan;
  CandidateTrace trace;
  copy.mTrace = &trace;
  explanation.mDecision = copy.NextAttempt(plan, false, aNow);
  copy.mTrace = nullptr;
  DescribeService(trace, aNow, explanation);
  const auto* attempt = std::get_if<AttemptPlan>(&explanation.mDecision);
  if (attempt == nullptr) {
    if (plan.mChoosesSize) {
      const auto first = copy.ChooseModel(plan, aNow);
      explanation.mModel = plan.mRoute->mSizes[first.mSize];
      explanation.mModelReason = first.mReason;
    }
    return explanation;
  }
  explanation.mModel = attempt->mModel;
  explanation.mModelReason = attempt->mModelReason;
  auto next = plan;
  copy.OnEnded(next, *attempt, RelayOutcome::Unreachable, aNow);
  explanation.mNext = copy.NextAttempt(next, false, aNow);
  // Last, since sending changes the state from which the next attempt is chosen.
  copy.OnSent(plan, *attempt, aNow);
  explanation.mHedgeDelay = copy.HedgeDelay(plan, *attempt, aNow);
  return explanation;
}

void RouteExplainer::DescribeRoute(const RelayRequest& aRequest,
                                   RouteExplanation& aExplanation) const
{
  const auto& config = mRouter.mConfig;
  if (!config) {
    return;
  }
  aExplanation.mConfigVersion = config->Config().mVersion;
  if (const auto* route = config->FindRoute(aRequest.mHost, aRequest.mPath)) {
    aExplanation.mRoute = route->mName;
    aExplanation.mTargets = route->mTargets;
  }
  if (const auto* team = config->FindTeam(aRequest.mKey)) {
    aExplanation.mTeam = team->mName.Value();
  }
}

/** Describes the service of an admitted request and its endpoints, as they are before the attempt
    is planned. */
void RouteExplainer::DescribeService(const CandidateTrace& aTrace,
                                     TimePoint aNow,
                                     RouteExplanation& aExplanation) const
{
  const auto& service = aExplanation.mPlan->mService;
  // Room and limits are brought up to date when they are read, so they are read from a copy.
  FleetRouter copy(mRouter);
  for (const auto* it : copy.mEndpoints.OpenRows(service)) {
    ++aExplanation.mVersions[it->mEntry.mVersion];
  }
  if (const auto* order = copy.mRollouts.Order(service)) {
    aExplanation.mRollout = *order;
  }
  aExplanation.mMayWait = copy.UsesAdmission(service);
  for (const auto& it : copy.mAdmission.Summaries(aNow)) {
    if (it.mService == service) {
      aExplanation.mWaiting = it.mWaiting;
    }
  }
  for (auto& [id, row] : copy.mEndpoints.All()) {
    if (row.mEntry.mService != service) {
      continue;
    }
    auto endpoint = DescribeEndpoint(copy, row, aNow);
    endpoint.mRemovedBy = aTrace.RemovedBy(id);
    const bool isSelected = !endpoint.mRemovedBy || *endpoint.mRemovedBy > CandidateStep::Version;
    if (isSelected && aTrace.HasSteps()) {
      aExplanation.mVersion = endpoint.mVersion;
    }
    aExplanation.mEndpoints.push_back(std::move(endpoint));
  }
}

EndpointExplanation RouteExplainer::DescribeEndpoint(FleetRouter& aCopy,
                                                     FleetRow& aRow,
                                                     TimePoint aNow)
{
  const auto& service = aRow.mEntry.mService;
  const auto* configured = aCopy.mConfig->FindService(service);
  EndpointExplanation endpoint;
  endpoint.mId = aRow.mEntry.mId;
  endpoint.mZone = aRow.mEntry.mZone;
  endpoint.mVersion = aRow.mEntry.mVersion;
  if (aRow.HasFreshReport(aNow)) {
    endpoint.mReport = aRow.mReport;
    endpoint.mReportAge = std::chrono::duration_cast<milliseconds>(aNow - aRow.mReportedAt);
  }
  endpoint.mOutstanding = aRow.mOutstanding;
  endpoint.mLoad = aRow.EstimatedLoad(aNow);
  endpoint.mSlots = aRow.Slots();
  endpoint.mRoom = aCopy.UsesAdmission(service) ? aCopy.mAdmission.FreePlaces(aRow, aNow)
                                                : std::max(0.0, endpoint.mSlots - endpoint.mLoad);
  endpoint.mSpeed = aRow.mPace.Speed();
  endpoint.mPace = aRow.mPace.Pace(aNow);
  if (aCopy.IsCold(aRow, aNow)) {
    endpoint.mColdFor = std::chrono::ceil<milliseconds>(aRow.mWarmth.ColdUntil() - aNow);
  }
  endpoint.mWait = std::max({ milliseconds(0),
                              aRow.mNotices.WaitTime(aNow),
                              aCopy.mPacing.WaitTime(aRow, configured, aNow) });
  endpoint.mLimit = aRow.mNotices.Limit();
  endpoint.mIsDraining = !aRow.IsOpen();
  endpoint.mIsEvacuated = aCopy.mEndpoints.IsEvacuated(aRow.mEntry.mZone);
  endpoint.mIsPaused = aRow.mNotices.IsPaused(aNow);
  endpoint.mIsUnhealthy = !aRow.mHealth.Allows(aNow);
  endpoint.mIsInAvoidedZone = aCopy.mZones.IsAvoided(aRow.mEntry.mZone);
  return endpoint;
}

} // namespace skylarkchute
