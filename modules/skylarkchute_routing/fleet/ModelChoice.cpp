#include "ModelChoice.h"

#include <algorithm>
#include <array>

namespace skylarkchute {

namespace {

/** Confidence, 0 to 1, from which on an answer is accepted, by rank. Measured with free endpoints:
    higher ones cost more for the largest model than they gained. */
constexpr std::array<double, 3> kRequiredConfidence{ 0.65, 0.5, 0.4 };

/** Pressure from which on the largest model takes engine time from other requests, for the most
    urgent rank; lower by kRankStep for each further rank. The required confidence falls to zero
    over kFullRange. In the replay of ModelChoiceTests at more than the engines serve, 0.9 rejected
    8 % of the requests and 0.6 dropped fewer answers than there was room for. */
constexpr double kNearlyFull = 0.75;
constexpr double kRankStep = 0.1;
constexpr double kFullRange = 0.2;

/** The largest model may cost this multiple of the class's mean, relative to the size of the
    request, before the required confidence is lowered. */
constexpr double kCostTolerance = 1.25;

/** A request goes straight to the largest model if the share of accepted answers is below the cost
    of the smallest model relative to the largest, and at most this. */
constexpr double kMaxAcceptedShare = 0.1;

/** Weight of one request in the class's mean of relative costs. */
constexpr double kCostSampleWeight = 0.02;

/** Prompt tokens are charged a quarter of generated ones. The worth of a request grows ten times as
    fast with its generated tokens as with its prompt. */
constexpr double kPromptCost = 0.25;
constexpr double kOutputWorth = 10;

constexpr std::size_t kMaxClasses = 1024;

/** Returns the cost of a run relative to the worth of the request, up to a factor that depends on
    model and rank; zero if its size is unknown. */
double RelativeCost(const ModelInputs& aInputs)
{
  const auto prompt = static_cast<double>(aInputs.mPromptTokens);
  const auto output = static_cast<double>(aInputs.mOutputTokens);
  const double worth = prompt + kOutputWorth * output;
  return worth <= 0 ? 0 : (kPromptCost * prompt + output) / worth;
}

std::size_t RankOf(const ModelInputs& aInputs)
{
  return std::min(aInputs.mRank, kRequiredConfidence.size() - 1);
}

/** Returns the part of the engine time that the largest model can take without displacing other
    requests, 0 to 1. */
double Room(const ModelInputs& aInputs)
{
  const double start = kNearlyFull - kRankStep * static_cast<double>(RankOf(aInputs));
  return std::clamp((start + kFullRange - aInputs.mPressure) / kFullRange, 0.0, 1.0);
}

ConfidenceCalibration::Kind KindOf(const ModelInputs& aInputs)
{
  return { aInputs.mClass, aInputs.mPromptTokens };
}

} // namespace

void ModelChoice::RecordSize(const ModelInputs& aInputs)
{
  const double cost = RelativeCost(aInputs);
  if (cost <= 0) {
    return;
  }
  if (mMeanCosts.size() >= kMaxClasses && mMeanCosts.find(aInputs.mClass) == mMeanCosts.end()) {
    mMeanCosts.clear();
  }
  auto& mean = mMeanCosts.try_emplace(aInputs.mClass, cost).first->second;
  mean += kCostSampleWeight * (cost - mean);
}

double ModelChoice::RequiredWithRoom(const ModelInputs& aInputs) const
{
  const double required = kRequiredConfidence[RankOf(aInputs)];
  const auto mean = mMeanCosts.find(aInputs.mClass);
  if (mean == mMeanCosts.end()) {
    return required;
  }
  const double relative = RelativeCost(aInputs) / mean->second / kCostTolerance;
  return std::max(0.0, 1 - (1 - required) * std::max(1.0, relative));
}

ModelChoice::First ModelChoice::ChooseFirst(const ModelInputs& aInputs, TimePoint aNow)
{
  RecordSize(aInputs);
  const auto largest = aInputs.mSizes - 1;
  const double room = Room(aInputs);
  const double required = RequiredWithRoom(aInputs) * room;
  if (largest == 0) {
    return { 0, ModelReason::NoAttempt };
  }
  if (required <= 0) {
    return { 0, room <= 0 ? ModelReason::ServiceFull : ModelReason::Costly };
  }
  if (aInputs.mIsContinuation) {
    return { largest, ModelReason::Continuation };
  }
  if (aInputs.mTimeToTarget <= aInputs.mLargestLatency) {
    return { 0, ModelReason::NoTime };
  }
  const auto kind = KindOf(aInputs);
  const bool hasTimeForBoth =
    aInputs.mTimeToTarget > aInputs.mSmallestLatency + aInputs.mLargestLatency;
  if (aInputs.mAttemptsLeft <= 1 || !hasTimeForBoth) {
    const double mean = mCalibration.MeanConfidence(kind, aNow);
    const bool isUnsure = mCalibration.Right(aInputs.mClass, mean, aNow) < required;
    return { isUnsure ? largest : 0, ModelReason::OneRun };
  }
  const double worthwhile =
    aInputs.mCostRatio > 0 ? std::min(aInputs.mCostRatio, kMaxAcceptedShare) : kMaxAcceptedShare;
  if (room >= 1 && mCalibration.AcceptedShare(kind, aNow) < worthwhile &&
      !mCalibration.TakeTrial(kind, aNow)) {
    return { largest, ModelReason::MostlyDropped };
  }
  return { 0, ModelReason::SmallestFirst };
}

ModelReason ModelChoice::JudgeAnswer(const ModelInputs& aInputs, double aConfidence, TimePoint aNow)
{
  const double confidence = std::clamp(aConfidence / 100, 0.0, 1.0);
  const double right = mCalibration.Right(aInputs.mClass, confidence, aNow);
  const double required = RequiredWithRoom(aInputs);
  mCalibration.OnAnswer(KindOf(aInputs), confidence, right < required, aNow);
  return ReasonFor(aInputs, aConfidence, aNow);
}

ModelReason ModelChoice::ReasonFor(const ModelInputs& aInputs,
                                   double aConfidence,
                                   TimePoint aNow) const
{
  const double confidence = std::clamp(aConfidence / 100, 0.0, 1.0);
  const double right = mCalibration.Right(aInputs.mClass, confidence, aNow);
  const double required = RequiredWithRoom(aInputs);
  if (confidence >= kRequiredConfidence[RankOf(aInputs)]) {
    return ModelReason::Confident;
  }
  if (aInputs.mAttemptsLeft == 0) {
    return ModelReason::NoAttempt;
  }
  if (confidence >= required) {
    return ModelReason::Costly;
  }
  if (right >= required) {
    return ModelReason::NoGain;
  }
  if (right >= required * Room(aInputs)) {
    return ModelReason::ServiceFull;
  }
  if (aInputs.mTimeToTarget <= aInputs.mLargestLatency + aInputs.mDelay) {
    return ModelReason::NoTime;
  }
  return ModelReason::LowConfidence;
}

void ModelChoice::OnLargerAnswer(RouteClass aClass,
                                 double aDropped,
                                 double aConfidence,
                                 TimePoint aNow)
{
  mCalibration.OnLargerAnswer(
    aClass, std::clamp(aDropped / 100, 0.0, 1.0), std::clamp(aConfidence / 100, 0.0, 1.0), aNow);
}

} // namespace skylarkchute
