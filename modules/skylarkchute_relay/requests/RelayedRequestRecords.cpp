#include "RelayedRequest.h"

#include "../events/RelayEvents.h"

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

/** Counts what decided on the model of the attempt and on its answer. */
void RelayedRequest::CountModelReasons()
{
  for (const auto reason : { mAttempt->mModelReason, mAttempt->mAnswerReason }) {
    if (reason != ModelReason::None) {
      mContext.mMetrics.Add("skylarkchute_model_choices_total",
                            "reason=\"" + std::string(ModelReasonName(reason)) + "\"");
    }
  }
}

void RelayedRequest::LogFailedAttempt(RelayOutcome aOutcome)
{
  if (aOutcome == RelayOutcome::Answered || aOutcome == RelayOutcome::Superseded ||
      aOutcome == RelayOutcome::Overtaken || aOutcome == RelayOutcome::Abandoned) {
    return;
  }
  const auto age = std::chrono::duration_cast<milliseconds>(Now() - mPlan->mArrival);
  const auto load = mEndpointHead.mLoad.value_or(ReportedLoad{});
  mContext.mLog.Write({ &kRelayAttemptFailed,
                        { { "request", mId },
                          { "route", mPlan->mRoute->mName },
                          { "endpoint", mAttempt->mEndpoint.Value() },
                          { "version", mAttempt->mVersion },
                          { "outcome", std::string(RelayOutcomeName(aOutcome)) },
                          { "status", std::to_string(mEndpointHead.mStatus) },
                          { "running", std::to_string(load.mRunning) },
                          { "waiting", std::to_string(load.mWaiting) },
                          { "age_ms", std::to_string(age.count()) },
                          { "config", std::to_string(mPlan->mConfig->Config().mVersion) } } });
}

void RelayedRequest::LogFirstByte(std::chrono::microseconds aLatency)
{
  const auto* row = mContext.mRouter.Endpoints().Find(mAttempt->mEndpoint);
  const auto load = mEndpointHead.mLoad.value_or(ReportedLoad{});
  mContext.mLog.Write(
    { &kAnswerBegun,
      { { "request", mId },
        { "route", mPlan->mRoute->mName },
        { "endpoint", mAttempt->mEndpoint.Value() },
        { "version", mAttempt->mVersion },
        { "size", mAttempt->mSize ? std::to_string(*mAttempt->mSize) : "" },
        { "latency_ms", std::to_string(aLatency.count() / 1000) },
        { "outstanding", std::to_string(row == nullptr ? 0 : row->mOutstanding) },
        { "running", std::to_string(load.mRunning) },
        { "waiting", std::to_string(load.mWaiting) },
        { "prompt_tokens", std::to_string(mPlan->mPromptTokens) },
        { "pressure", WriteNumber(mContext.mRouter.Endpoints().Pressure(mPlan->mService, Now())) },
        { "confidence", WriteNumber(mEndpointHead.mConfidence.value_or(0)) },
        { "model_reason", std::string(ModelReasonName(mAttempt->mModelReason)) },
        { "answer_reason", std::string(ModelReasonName(mAttempt->mAnswerReason)) } } });
}

} // namespace skylarkchute
