#pragma once

#include "CandidateTrace.h"
#include "RelayRequest.h"
#include "RolloutOrder.h"
#include "ServiceAdmission.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace skylarkchute {

/** What this instance knows of an endpoint of the request's service, and whether the request may go
    there. */
struct EndpointExplanation
{
  EndpointId mId;
  ZoneName mZone;
  std::string mVersion;
  std::optional<ReportedLoad> mReport; /**< The last one, while it is still used. */
  std::chrono::milliseconds mReportAge{ 0 };
  std::uint32_t mOutstanding = 0; /**< Attempts of this instance in progress. */
  double mLoad = 0;               /**< Requests that it is expected to hold, of all instances. */
  double mSlots = 0;
  double mRoom = 0;  /**< Further requests that it may get from this instance. */
  double mSpeed = 1; /**< Usual time for a piece of work, relative to others. @see EndpointPace */
  double mPace = 1;  /**< Of its machine at this moment; 1 is as usual. */
  std::chrono::milliseconds mColdFor{ 0 }; /**< Zero unless it is cold. */
  std::chrono::milliseconds mWait{ 0 };    /**< Until a pause, a limit or the pacing of cold
                                                endpoints permits a request. */
  std::optional<double> mLimit;            /**< @see EndpointNotices::Limit */
  bool mIsDraining = false;
  bool mIsEvacuated = false;
  bool mIsPaused = false;
  bool mIsUnhealthy = false; /**< It is avoided after failures. */
  bool mIsInAvoidedZone = false;
  std::optional<CandidateStep> mRemovedBy; /**< Nothing if it was among the last candidates. */
};

/** Where a request would be sent at one moment, and why. @see RouteExplainer */
struct RouteExplanation
{
  using Decision = std::variant<AttemptPlan, RelayRefusal, AdmissionWait>;

  std::optional<std::uint64_t> mConfigVersion; /**< Nothing without a configuration. */
  std::string mTeam;                           /**< Empty if no team has the key. */
  std::string mRoute;                          /**< Empty if no route matches. */
  std::vector<RouteTarget> mTargets;           /**< Services among which the route distributes. */
  std::optional<RequestPlan> mPlan;            /**< As admitted; nothing if it was not. */

  std::map<std::string, std::size_t> mVersions; /**< Number of open endpoints by version. */
  std::optional<RolloutOrder> mRollout;         /**< The service's latest one. */
  std::string mVersion;                         /**< Selected; empty if no endpoint is left. */

  ModelName mModel; /**< Empty if the caller's model name is passed on. */
  ModelReason mModelReason = ModelReason::None;

  bool mMayWait = false;    /**< Requests to the service wait while its endpoints have no room. */
  std::size_t mWaiting = 0; /**< Requests to the service that wait at this instance. */

  std::vector<EndpointExplanation> mEndpoints; /**< All of the service. */
  Decision mDecision;
  /** What follows if the endpoint of the attempt cannot be reached; nothing without an attempt. */
  std::optional<Decision> mNext;
  std::optional<std::chrono::milliseconds> mHedgeDelay; /**< Nothing if it is not hedged. */
};

/** Returns the name of a step for reports. */
std::string_view CandidateStepName(CandidateStep aStep);

} // namespace skylarkchute
