#pragma once

#include "CrashSuspects.h"
#include "FleetTable.h"
#include "LatencyBaseline.h"
#include "ModelSizePolicy.h"
#include "RelayRequest.h"
#include "RetryWindow.h"
#include "RolloutBook.h"

#include <random>
#include <variant>

namespace skylarkchute {

/** Bounds of the deployment that decisions keep. */
struct FleetBounds
{
  RetryBound mRetry;
  ExposureBound mExposure;
  std::chrono::milliseconds mSession{ 0 };
};

/** Every decision on a request in front of the platform's endpoints: route and team, endpoint,
    version, model, retry and refusal. Free of I/O; one thread owns it. */
class FleetRouter
{
public:
  using Decision = std::variant<AttemptPlan, RelayRefusal>;

  /** @param aSeed  of the draws that spread load */
  FleetRouter(IncarnationId aSelf, ZoneName aZone, const FleetBounds& aBounds, std::uint64_t aSeed);

  /** Puts a configuration in force for requests that arrive from now on. */
  void SetConfig(std::shared_ptr<const ConfigIndex> aConfig) { mConfig = std::move(aConfig); }
  const std::shared_ptr<const ConfigIndex>& Config() const { return mConfig; }

  /** Puts other bounds in force. */
  void SetBounds(const FleetBounds& aBounds);

  /** Finds route, team and service of a request. */
  std::variant<RequestPlan, RelayRefusal> Admit(const RelayRequest& aRequest, TimePoint aNow);

  /** Chooses the next attempt of a request; the first one, or one after an earlier ended.
      @param aAsksLarger  an answer was dropped because its model was unsure */
  Decision NextAttempt(RequestPlan& aPlan, bool aAsksLarger, TimePoint aNow);

  /** Notes that an attempt is sent. */
  void OnSent(RequestPlan& aPlan, const AttemptPlan& aAttempt, TimePoint aNow);

  /** Notes the head of an answer, or of a stream its first event. */
  void OnFirstByte(const RequestPlan& aPlan,
                   const AttemptPlan& aAttempt,
                   std::chrono::microseconds aLatency,
                   TimePoint aNow);

  /** Notes the load that an endpoint told. */
  void OnLoad(const EndpointId& aEndpoint, const ReportedLoad& aLoad, TimePoint aNow);

  /** Notes the end of an attempt. Call once for each attempt planned. */
  void OnEnded(RequestPlan& aPlan,
               const AttemptPlan& aAttempt,
               RelayOutcome aOutcome,
               TimePoint aNow);

  /** Returns whether an unsure answer is to be dropped for one of a larger model. */
  bool AsksLarger(const RequestPlan& aPlan,
                  const AttemptPlan& aAttempt,
                  double aConfidence,
                  TimePoint aNow) const;

  /** Returns how long an attempt may take to its first byte before another one is made, or nothing
      when it has all the time that is left. */
  std::optional<std::chrono::milliseconds> Patience(const RequestPlan& aPlan,
                                                    const AttemptPlan& aAttempt,
                                                    TimePoint aNow) const;

  /** Returns how long a stream may pause before it goes on at another endpoint. */
  std::chrono::milliseconds PausePatience(const RequestPlan& aPlan, TimePoint aNow) const;

  /** Returns the use of each service's retry window, for reports. */
  std::map<ServiceName, RetryWindow::Use> RetryUses(TimePoint aNow) const;

  /** Sets the number of live instances, this one included. */
  void SetInstances(std::size_t aInstances);

  FleetTable& Endpoints() { return mEndpoints; }
  RolloutBook& Rollouts() { return mRollouts; }
  CrashSuspects& Suspects() { return mSuspects; }

  /** Forgets what has lapsed. Call about once a second.
      @returns endpoints dropped */
  std::vector<EndpointId> Tick(TimePoint aNow);

private:
  ServiceName ChooseService(const RelayRoute& aRoute);
  double OthersFailureRate(const ServiceName& aService,
                           const EndpointId& aEndpoint,
                           TimePoint aNow) const;
  SizeQuestion AskSize(const RequestPlan& aPlan, std::uint32_t aRuns, TimePoint aNow) const;
  RelayRefusal Refuse(const RequestPlan& aPlan, RefusalReason aReason, TimePoint aNow) const;
  AttemptPlan PlanFor(const RequestPlan& aPlan, const FleetRow& aRow, TimePoint aNow) const;

  ZoneName mZone;
  FleetBounds mBounds;
  std::shared_ptr<const ConfigIndex> mConfig;
  FleetTable mEndpoints;
  RolloutBook mRollouts;
  CrashSuspects mSuspects;
  LatencyBaseline mLatencies;
  std::map<ServiceName, RetryWindow> mRetryWindows;
  std::size_t mInstances = 1;
  std::minstd_rand mRandom;
};

} // namespace skylarkchute
