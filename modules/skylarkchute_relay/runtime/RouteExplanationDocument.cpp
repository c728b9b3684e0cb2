#include "RouteExplanationDocument.h"

#include "../requests/RelayContext.h"

#include <platform/RequestCodec.h>

#include <cmath>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kMethodNotAllowed = 405;

/** Longer deadlines are refused as errors of the operator, milliseconds. */
constexpr double kMaxDeadlineMs = 1e9;

/** Members of the body that are texts. */
constexpr const char* kTextMembers[] = { "host",  "path",   "method", "key",
                                         "model", "tokens", "prefix" };

Json::Value ToJson(milliseconds aTime)
{
  return Json::Int64(aTime.count());
}

Json::Value DecisionToJson(const RouteExplanation::Decision& aDecision, TimePoint aNow)
{
  Json::Value json(Json::objectValue);
  if (const auto* attempt = std::get_if<AttemptPlan>(&aDecision)) {
    if (attempt->IsForwarded()) {
      json["outcome"] = "forward";
      json["instance"] = attempt->mPeer;
    } else {
      json["outcome"] = "send";
      json["endpoint"] = attempt->mEndpoint.Value();
      json["zone"] = attempt->mZone.Value();
      json["version"] = attempt->mVersion;
    }
  } else if (const auto* wait = std::get_if<AdmissionWait>(&aDecision)) {
    json["outcome"] = "wait";
    json["wait_ms"] = ToJson(std::chrono::ceil<milliseconds>(wait->mUntil - aNow));
  } else {
    const auto& refusal = std::get<RelayRefusal>(aDecision);
    json["outcome"] = "refuse";
    json["reason"] = std::string(RefusalReasonName(refusal.mReason));
    json["status"] = StatusOf(refusal.mReason);
    json["retry_after_ms"] = ToJson(refusal.mRetryAfter);
  }
  return json;
}

Json::Value EndpointToJson(const EndpointExplanation& aEndpoint)
{
  Json::Value json(Json::objectValue);
  json["id"] = aEndpoint.mId.Value();
  json["zone"] = aEndpoint.mZone.Value();
  json["version"] = aEndpoint.mVersion;
  if (aEndpoint.mReport) {
    json["running"] = aEndpoint.mReport->mRunning;
    json["waiting"] = aEndpoint.mReport->mWaiting;
    json["report_age_ms"] = ToJson(aEndpoint.mReportAge);
  }
  json["outstanding"] = aEndpoint.mOutstanding;
  json["load"] = aEndpoint.mLoad;
  json["slots"] = aEndpoint.mSlots;
  json["room"] = aEndpoint.mRoom;
  json["speed"] = aEndpoint.mSpeed;
  json["pace"] = aEndpoint.mPace;
  json["wait_ms"] = ToJson(aEndpoint.mWait);
  if (aEndpoint.mColdFor.count() > 0) {
    json["cold_ms"] = ToJson(aEndpoint.mColdFor);
  }
  if (aEndpoint.mLimit) {
    json["limit"] = *aEndpoint.mLimit;
  }
  json["draining"] = aEndpoint.mIsDraining;
  json["evacuated"] = aEndpoint.mIsEvacuated;
  json["paused"] = aEndpoint.mIsPaused;
  json["unhealthy"] = aEndpoint.mIsUnhealthy;
  json["zone_avoided"] = aEndpoint.mIsInAvoidedZone;
  if (aEndpoint.mRemovedBy) {
    json["removed_by"] = std::string(CandidateStepName(*aEndpoint.mRemovedBy));
  }
  return json;
}

void AddPlan(const RequestPlan& aPlan, Json::Value& aJson)
{
  aJson["service"] = aPlan.mService.Value();
  aJson["priority"] = aPlan.mPriority;
  aJson["rank"] = Json::UInt64(aPlan.mRank);
  aJson["deadline_ms"] = ToJson(std::chrono::ceil<milliseconds>(aPlan.mEnd - aPlan.mArrival));
  aJson["target_ms"] = ToJson(std::chrono::ceil<milliseconds>(aPlan.mTarget - aPlan.mArrival));
}

/** Returns the description in the body, or nothing and the fault. */
std::optional<RequestDescription> ReadDescription(const Json::Value& aBody, std::string& aFault)
{
  for (const auto* it : kTextMembers) {
    if (aBody.isMember(it) && !aBody[it].isString()) {
      aFault = std::string(it) + " has to be a text";
      return std::nullopt;
    }
  }
  RequestDescription description;
  description.mHost = JsonTextField(aBody, "host");
  description.mPath = JsonTextField(aBody, "path");
  description.mKey = JsonTextField(aBody, "key");
  description.mModel = JsonTextField(aBody, "model");
  description.mTokens = JsonTextField(aBody, "tokens");
  description.mPromptParts = JsonTextField(aBody, "prefix");
  if (aBody.isMember("deadline_ms")) {
    const auto& deadline = aBody["deadline_ms"];
    const bool isValid =
      deadline.isNumeric() && deadline.asDouble() >= 1 && deadline.asDouble() <= kMaxDeadlineMs;
    if (!isValid) {
      aFault = "deadline_ms has to be a number from 1 to 1e9";
      return std::nullopt;
    }
    description.mDeadline = std::to_string(std::llround(deadline.asDouble()));
  }
  if (description.mHost.empty() || description.mPath.empty() || description.mPath.front() != '/') {
    aFault = "host has to be given, and a path that begins with a slash";
    return std::nullopt;
  }
  return description;
}

ControlResponse ErrorResponse(unsigned aStatus, const std::string& aFault)
{
  Json::Value json(Json::objectValue);
  json["error"] = aFault;
  return { aStatus, "application/json", WriteJson(json) };
}

} // namespace

Json::Value RouteExplanationToJson(const RouteExplanation& aExplanation, TimePoint aNow)
{
  Json::Value json(Json::objectValue);
  if (aExplanation.mConfigVersion) {
    json["config"] = Json::UInt64(*aExplanation.mConfigVersion);
  }
  json["team"] = aExplanation.mTeam;
  json["route"] = aExplanation.mRoute;
  json["targets"] = Json::Value(Json::arrayValue);
  for (const auto& it : aExplanation.mTargets) {
    Json::Value target(Json::objectValue);
    target["service"] = it.mService.Value();
    target["weight"] = it.mWeight;
    json["targets"].append(target);
  }
  json["decision"] = DecisionToJson(aExplanation.mDecision, aNow);
  if (!aExplanation.mPlan) {
    return json;
  }
  AddPlan(*aExplanation.mPlan, json);
  json["version"] = aExplanation.mVersion;
  json["versions"] = Json::Value(Json::objectValue);
  for (const auto& [version, count] : aExplanation.mVersions) {
    json["versions"][version] = Json::UInt64(count);
  }
  if (aExplanation.mRollout) {
    json["rollout"]["target"] = aExplanation.mRollout->mTarget;
    json["rollout"]["running"] = aExplanation.mRollout->mState == RolloutState::Running;
  }
  json["model"] = aExplanation.mModel.Value();
  json["model_reason"] = std::string(ModelReasonName(aExplanation.mModelReason));
  json["may_wait"] = aExplanation.mMayWait;
  json["waiting"] = Json::UInt64(aExplanation.mWaiting);
  json["endpoints"] = Json::Value(Json::arrayValue);
  for (const auto& it : aExplanation.mEndpoints) {
    json["endpoints"].append(EndpointToJson(it));
  }
  if (aExplanation.mNext) {
    json["next"] = DecisionToJson(*aExplanation.mNext, aNow);
  }
  if (aExplanation.mHedgeDelay) {
    json["hedge_ms"] = ToJson(*aExplanation.mHedgeDelay);
  }
  return json;
}

ControlResponse AnswerRouteExplanation(const RouteExplanationSource& aSource,
                                       const ControlRequest& aRequest,
                                       TimePoint aNow)
{
  if (aRequest.mMethod != "POST") {
    return ErrorResponse(kMethodNotAllowed, "the method has to be POST");
  }
  const auto body = ReadJsonObject(aRequest.mBody);
  if (!body) {
    return ErrorResponse(kBadRequest, "the body has to be a JSON object");
  }
  std::string fault;
  const auto description = ReadDescription(*body, fault);
  const auto request = description ? DecodeDescription(*description) : std::nullopt;
  if (!request) {
    return ErrorResponse(kBadRequest, fault);
  }
  auto explanation = RouteExplainer(aSource.mRouter).Explain(*request, aNow);
  if (aSource.mRefusesNew) {
    explanation.mDecision = RelayRefusal{ RefusalReason::Leaving, kShutdownRetryAfter };
    explanation.mNext.reset();
    explanation.mHedgeDelay.reset();
  }
  if (JsonTextField(*body, "method") == "HEAD") {
    // The answer to HEAD has no body, in which a copy could be seen to have answered.
    explanation.mHedgeDelay.reset();
  }
  auto json = RouteExplanationToJson(explanation, aNow);
  json["instance"] = aSource.mSelf.mName;
  json["zone"] = aSource.mSelf.mZone;
  json["starting"] = aSource.mIsStarting;
  return { kOk, "application/json", WriteJson(json) };
}

} // namespace skylarkchute
