#include "FleetRouter.h"

#include "RequestTimes.h"

#include <algorithm>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

/** Retry delay stated in a refusal, limited to a third of the request's remaining time.
    kEngineRetryAfter applies to services with model engines. */
constexpr milliseconds kShortRetryAfter{ 150 };
constexpr milliseconds kEngineRetryAfter{ 700 };

} // namespace

ServiceName FleetRouter::ChooseService(const RelayRoute& aRoute)
{
  if (aRoute.mTargets.size() == 1) {
    return aRoute.mTargets.front().mService;
  }
  std::vector<double> weights;
  for (const auto& it : aRoute.mTargets) {
    weights.push_back(it.mWeight);
  }
  std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
  return aRoute.mTargets[draw(mRandom)].mService;
}

std::variant<RequestPlan, RelayRefusal> FleetRouter::Admit(const RelayRequest& aRequest,
                                                           TimePoint aNow)
{
  if (!mConfig) {
    return RelayRefusal{ RefusalReason::NoConfiguration, kEngineRetryAfter };
  }
  RequestPlan plan;
  plan.mConfig = mConfig;
  plan.mRoute = mConfig->FindRoute(aRequest.mHost, aRequest.mPath);
  if (plan.mRoute == nullptr) {
    return RelayRefusal{ RefusalReason::NoRoute, {} };
  }
  const auto& route = *plan.mRoute;
  plan.mTeam = mConfig->FindTeam(aRequest.mKey);
  if (plan.mTeam == nullptr && mConfig->RequiresKeys() && !route.mPublic) {
    return RelayRefusal{ RefusalReason::NoKey, {} };
  }
  plan.mService = ChooseService(route);
  const auto& parts = aRequest.mPromptParts;
  if (!parts.empty()) {
    plan.mAffinity = parts.size() > 1 ? parts[parts.size() - 2] : parts.back();
    plan.mSession = plan.mAffinity;
  }
  for (std::size_t n = 0; n + 1 < parts.size(); ++n) {
    plan.mSharedParts.push_back(StableHash(parts[n]));
  }
  plan.mFingerprint = aRequest.mFingerprint;
  plan.mModel = aRequest.mModel;
  plan.mPromptTokens = aRequest.mPromptTokens;
  plan.mSharedTokens = aRequest.mSharedTokens;
  plan.mMaxOutputTokens = aRequest.mMaxOutputTokens;
  plan.mPriority =
    plan.mTeam != nullptr && plan.mTeam->mPriority ? *plan.mTeam->mPriority : route.mPriority;
  plan.mRank = mConfig->RankOf(plan.mService, route.mPriority);
  plan.mArrival = aNow;
  plan.mEnd = aNow + std::min(route.mTimeout, aRequest.mDeadline.value_or(route.mTimeout));
  plan.mTarget = aNow + route.mTargetLatency;
  plan.mIsContinuation = aRequest.mIsContinuation;
  plan.mIsForwarded = aRequest.mIsForwarded;
  plan.mMaxRuns = aRequest.mIsForwarded ? 1 : route.mMaxAttempts;
  plan.mChoosesSize = !route.mSizes.empty() && aRequest.mModel == "*";
  mPartSuspects.OnRequest(plan.mSharedParts);
  if (IsSuspect(plan, aNow) || mPartSuspects.IsRefused(plan.mSharedParts, aNow)) {
    return Refuse(plan, RefusalReason::CrashesEndpoints, aNow);
  }
  return plan;
}

/** Returns whether a request is refused because endpoints crashed under it alone. */
bool FleetRouter::IsSuspect(const RequestPlan& aPlan, TimePoint aNow) const
{
  return mSuspects.IsRefused(aPlan.mFingerprint, aNow, [this](const std::string& aEndpoint) {
    return mPartSuspects.IsExplained(aEndpoint);
  });
}

/** Returns whether the endpoints of a service are model engines. */
bool FleetRouter::IsEngine(const ServiceName& aService) const
{
  const auto* service = mConfig == nullptr ? nullptr : mConfig->FindService(aService);
  return service != nullptr && service->mEngineSlots > 0;
}

RelayRefusal FleetRouter::Refuse(const RequestPlan& aPlan,
                                 RefusalReason aReason,
                                 TimePoint aNow) const
{
  const auto third = Until(aPlan.mEnd, aNow) / 3;
  const auto delay = IsEngine(aPlan.mService) ? kEngineRetryAfter : kShortRetryAfter;
  return { aReason, std::max(milliseconds(0), std::min(delay, third)) };
}

/** Refuses a request because all its endpoints permit no more requests now. The delay is the time
    until one of them does, spread so that the callers do not return all at once. */
RelayRefusal FleetRouter::RefuseLimited(const RequestPlan& aPlan,
                                        const std::vector<FleetRow*>& aRows,
                                        TimePoint aNow)
{
  auto refusal = Refuse(aPlan, RefusalReason::EndpointsLimited, aNow);
  const auto wait = mFilter.WaitTime(Limits(), aRows, aPlan, aNow);
  const auto third = std::max(milliseconds(0), Until(aPlan.mEnd, aNow) / 3);
  const double spread = std::uniform_real_distribution<double>(1, 2)(mRandom);
  refusal.mRetryAfter =
    std::min(third, std::chrono::duration_cast<milliseconds>(std::min(wait, third) * spread));
  return refusal;
}

} // namespace skylarkchute
