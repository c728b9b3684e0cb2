#include "RequestModels.h"

#include "RequestTimes.h"

#include <algorithm>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

/** Returns the cost of a route's smallest model divided by that of its largest; zero if unknown. */
double CostRatioOf(const RelayService* aService, const RelayRoute& aRoute)
{
  double smallest = 0;
  double largest = 0;
  if (aService != nullptr) {
    for (const auto& it : aService->mModels) {
      smallest = it.mName == aRoute.mSizes.front() ? it.mCost : smallest;
      largest = it.mName == aRoute.mSizes.back() ? it.mCost : largest;
    }
  }
  return smallest > 0 && largest > 0 ? smallest / largest : 0;
}

} // namespace

SizeInputs RequestModels::SizeInputsOf(const ModelState& aState,
                                       const RequestPlan& aPlan,
                                       std::uint32_t aRuns,
                                       TimePoint aNow)
{
  const auto& route = *aPlan.mRoute;
  const auto largest = route.mSizes.size() - 1;
  const auto fallback = kDefaultLatency + milliseconds(aPlan.mPromptTokens / kDefaultTokensPerMs);
  return { route.mSizes.size(),
           aPlan.mMaxRuns - std::min(aPlan.mMaxRuns, aRuns),
           Until(aPlan.mTarget, aNow),
           aState.mLatencies.Mean(LatencyKindOf(aPlan, largest), fallback),
           aPlan.mIsContinuation,
           aPlan.mRank,
           aState.mEndpoints.Pressure(aPlan.mService, aNow) };
}

ModelInputs RequestModels::ModelInputsOf(const ModelState& aState,
                                         const RequestPlan& aPlan,
                                         std::uint32_t aRuns,
                                         TimePoint aNow)
{
  const auto& route = *aPlan.mRoute;
  const auto base = SizeInputsOf(aState, aPlan, aRuns, aNow);
  ModelInputs inputs;
  inputs.mSizes = base.mSizes;
  // Where an answer may not be dropped, only the next run is left.
  inputs.mAttemptsLeft =
    route.IsRetryable() ? base.mAttemptsLeft : (aRuns == aPlan.mRuns ? 1U : 0U);
  inputs.mIsContinuation = base.mIsContinuation;
  inputs.mRank = base.mRank;
  inputs.mPressure = base.mPressure;
  inputs.mCostRatio = CostRatioOf(aPlan.mConfig->FindService(aPlan.mService), route);
  inputs.mTimeToTarget = base.mTimeToTarget;
  inputs.mLargestLatency = base.mExpectedLatency;
  // While the smallest model's latency is unknown, that of the largest is an upper bound.
  inputs.mSmallestLatency = aState.mLatencies.Mean(LatencyKindOf(aPlan, 0), base.mExpectedLatency);
  if (aPlan.mRuns == 0) {
    const auto age = Until(aNow, aPlan.mArrival);
    inputs.mDelay = std::max(milliseconds(0), age - inputs.mSmallestLatency);
  }
  inputs.mClass = route.Class();
  inputs.mPromptTokens = aPlan.mPromptTokens;
  inputs.mOutputTokens = aPlan.mMaxOutputTokens;
  return inputs;
}

ModelChoice::First RequestModels::ChooseModel(const ModelState& aState,
                                              const RequestPlan& aPlan,
                                              TimePoint aNow)
{
  if (aPlan.mSize) {
    return { *aPlan.mSize, ModelReason::Continuation };
  }
  if (aPlan.mWantsLargest) {
    return { aPlan.mRoute->mSizes.size() - 1, ModelReason::AnswerDropped };
  }
  if (!aState.mUsesFleetLoad) {
    return { ModelSizePolicy::FirstModel(SizeInputsOf(aState, aPlan, aPlan.mRuns, aNow)),
             ModelReason::None };
  }
  return mModelChoice.ChooseFirst(ModelInputsOf(aState, aPlan, aPlan.mRuns, aNow), aNow);
}

bool RequestModels::NeedsLargerModel(const ModelState& aState,
                                     const RequestPlan& aPlan,
                                     const AttemptPlan& aAttempt,
                                     double aConfidence,
                                     TimePoint aNow) const
{
  const auto& route = *aPlan.mRoute;
  if (!aAttempt.mSize || !aPlan.mChoosesSize || !route.IsRetryable()) {
    return false;
  }
  if (aState.mUsesFleetLoad) {
    const auto inputs = ModelInputsOf(aState, aPlan, aPlan.mRuns + 1, aNow);
    return *aAttempt.mSize + 1 < route.mSizes.size() &&
           mModelChoice.ReasonFor(inputs, aConfidence, aNow) == ModelReason::LowConfidence;
  }
  const auto inputs = SizeInputsOf(aState, aPlan, aPlan.mRuns + 1, aNow);
  return ModelSizePolicy::NeedsLargerModel(inputs, *aAttempt.mSize, aConfidence);
}

bool RequestModels::JudgeConfidence(const ModelState& aState,
                                    RequestPlan& aPlan,
                                    AttemptPlan& aAttempt,
                                    double aConfidence,
                                    TimePoint aNow)
{
  const auto& route = *aPlan.mRoute;
  if (!aAttempt.mSize || !aPlan.mChoosesSize || !aState.mUsesFleetLoad) {
    return NeedsLargerModel(aState, aPlan, aAttempt, aConfidence, aNow);
  }
  if (*aAttempt.mSize + 1 >= route.mSizes.size()) {
    if (aPlan.mDroppedConfidence) {
      mModelChoice.OnLargerAnswer(route.Class(), *aPlan.mDroppedConfidence, aConfidence, aNow);
    }
    return false;
  }
  const auto inputs = ModelInputsOf(aState, aPlan, aPlan.mRuns + 1, aNow);
  aAttempt.mAnswerReason = mModelChoice.JudgeAnswer(inputs, aConfidence, aNow);
  if (aAttempt.mAnswerReason != ModelReason::LowConfidence) {
    return false;
  }
  aPlan.mDroppedConfidence = aConfidence;
  return true;
}

void RequestModels::OnAnswerKept(RequestPlan& aPlan, AttemptPlan& aAttempt)
{
  aPlan.mDroppedConfidence.reset();
  if (aAttempt.mAnswerReason == ModelReason::LowConfidence) {
    aAttempt.mAnswerReason = ModelReason::NoAttempt;
  }
}

} // namespace skylarkchute
