#pragma once

#include "BrittleAdmission.h"
#include "CandidateFilter.h"
#include "CandidateTrace.h"
#include "CrashSuspects.h"
#include "FinishTimePlacement.h"
#include "FleetTable.h"
#include "HedgePolicy.h"
#include "InstanceBound.h"
#include "LatencyBaseline.h"
#include "ModelChoice.h"
#include "ModelSizePolicy.h"
#include "PeerForwarding.h"
#include "RelayRequest.h"
#include "RetryWindow.h"
#include "RolloutTracker.h"
#include "ServiceAdmission.h"
#include "ZoneReachability.h"

#include <random>
#include <variant>

namespace skylarkchute {

/** Limits of the deployment that routing decisions respect. */
struct FleetBounds
{
  RetryBound mRetry;
  ExposureBound mExposure;
  std::chrono::milliseconds mSession{ 0 }; /**< Session lifetime. @see RolloutTracker */
  std::uint32_t mToleratedZones = 0;       /**< @see ZoneReachability::SetTolerated */
  /** Cold endpoints are paced only if this is set. */
  std::optional<ColdBound> mCold = std::nullopt;
  ZoneRegions mRegions = {}; /**< Needed for routes and teams with allowed regions. */
  HedgeBound mHedging{};
};

/** Makes all decisions on a request to the platform's endpoints: route and team, endpoint, version,
    model, retry and refusal. Performs no I/O. Not thread-safe; owned by one thread. */
class FleetRouter
{
public:
  using Decision = std::variant<AttemptPlan, RelayRefusal, AdmissionWait>;

  /** @param aSelf  incarnation of this instance
      @param aZone  availability zone of this instance
      @param aSeed  seed of the random generator that spreads load */
  FleetRouter(IncarnationId aSelf, ZoneName aZone, const FleetBounds& aBounds, std::uint64_t aSeed);

  FleetRouter& operator=(const FleetRouter&) = delete;

  /** Sets the configuration for requests admitted from now on. */
  void SetConfig(std::shared_ptr<const ConfigIndex> aConfig) { mConfig = std::move(aConfig); }
  const std::shared_ptr<const ConfigIndex>& Config() const { return mConfig; }

  /** Replaces the deployment's limits. */
  void SetBounds(const FleetBounds& aBounds);

  /** Determines route, team and service of a request.
      @returns the plan, or a refusal: no configuration, no route, no key, or a request that crashes
               endpoints */
  std::variant<RequestPlan, RelayRefusal> Admit(const RelayRequest& aRequest, TimePoint aNow);

  /** Plans the first attempt of a request, or the next one after the previous attempt ended.
      @param aWantsLargest  the previous answer was dropped for its low confidence, so the largest
                            model is to be used
      @returns the attempt, a refusal, or that the request is to wait for room at an endpoint; the
               caller then calls BeginWait() unless it has something better to do */
  Decision NextAttempt(RequestPlan& aPlan, bool aWantsLargest, TimePoint aNow);

  /** Puts a request among the waiting ones, as NextAttempt() decided.
      @returns its ticket */
  std::uint64_t BeginWait(RequestPlan& aPlan, const AdmissionWait& aWait, TimePoint aNow)
  {
    return mAdmission.BeginWait(aPlan, aWait, aNow);
  }

  /** Removes a request from the waiting ones. */
  void EndWait(const RequestPlan& aPlan, std::uint64_t aTicket)
  {
    mAdmission.EndWait(aPlan.mService, aTicket);
  }

  /** Removes the waiting requests that there is room for, in the order in which they are to go.
      @returns their tickets; each is to be planned at once by NextAttempt(), with
               AdmissionProgress::mIsReleased set */
  std::vector<std::uint64_t> ReleaseWaiting(TimePoint aNow);

  /** Plans the attempt that takes the place of one whose endpoint is silent. The silent attempt is
      to be ended only if there is one, since its endpoint may go on.
      @returns nothing when no other attempt is possible now */
  std::optional<AttemptPlan> ReplaceSilentAttempt(const RequestPlan& aPlan,
                                                  const AttemptPlan& aSilent,
                                                  TimePoint aNow);

  /** Returns how long after it was sent an attempt is hedged, or nothing if it is not. */
  std::optional<std::chrono::milliseconds> HedgeDelay(const RequestPlan& aPlan,
                                                      const AttemptPlan& aAttempt,
                                                      TimePoint aNow) const;

  /** Plans an attempt beside the one in progress, with the same model.
      @returns the attempt, or the limit that does not permit it */
  std::variant<AttemptPlan, HedgeLimit> PlanHedge(const RequestPlan& aPlan,
                                                  const AttemptPlan& aFirst,
                                                  TimePoint aNow);

  /** Records that the hedge of an attempt answered first. To be called before OnEnded().
      @param aElapsed  time since the attempt was sent, a lower bound of its latency */
  void OnOvertaken(const RequestPlan& aPlan,
                   AttemptPlan& aAttempt,
                   std::chrono::microseconds aElapsed,
                   TimePoint aNow);

  /** Records that the endpoint of an attempt in progress has been silent for longer than its
      timeout. */
  void OnSilence(const RequestPlan& aPlan, AttemptPlan& aAttempt, TimePoint aNow);

  /** Returns whether a request that was refused its next attempt may get one later, within its
      deadline. */
  bool MayAttemptLater(const RequestPlan& aPlan, RefusalReason aReason) const;

  /** Records that an attempt was sent. */
  void OnSent(RequestPlan& aPlan, const AttemptPlan& aAttempt, TimePoint aNow);

  /** Records the arrival of the head of an answer, or of the first event of a stream.
      @param aLatency  time from sending to this arrival */
  void OnFirstByte(const RequestPlan& aPlan,
                   const AttemptPlan& aAttempt,
                   std::chrono::microseconds aLatency,
                   TimePoint aNow);

  /** Records the load that an endpoint reported. */
  void OnLoad(const EndpointId& aEndpoint, const ReportedLoad& aLoad, TimePoint aNow);

  /** Records the load that the endpoint of an attempt reported, unless the endpoint has started
      again since the attempt was planned. */
  void OnLoad(const AttemptPlan& aAttempt, const ReportedLoad& aLoad, TimePoint aNow);

  /** Records what the endpoint of an attempt says of itself.
      @returns what has changed; nothing when the endpoint is gone or has started again since */
  NoticeChange OnNotice(const AttemptPlan& aAttempt, const EndpointNotice& aNotice, TimePoint aNow);

  /** Records the end of an attempt. Must be called exactly once for each planned attempt. */
  void OnEnded(RequestPlan& aPlan,
               const AttemptPlan& aAttempt,
               RelayOutcome aOutcome,
               TimePoint aNow);

  /** Records that an answer in progress has got far.
      @see PromptPartSuspects::kProofTime */
  void OnProgress(const RequestPlan& aPlan, TimePoint aNow);

  /** Records that an attempt is about to end before its answer has got far, so that the request may
      be the cause if its endpoint is down.
      @param aOutcome  how it ends */
  void OnEndedEarly(const RequestPlan& aPlan,
                    const AttemptPlan& aAttempt,
                    RelayOutcome aOutcome,
                    TimePoint aNow);

  /** Records that the endpoint of an attempt was down when it was checked.
      @returns the crashes of single requests that were not known before */
  std::vector<CrashSuspects::Crash> OnEndpointDown(const EndpointId& aEndpoint,
                                                   const std::string& aIncarnation,
                                                   TimePoint aNow);

  /** Records that the endpoint of an attempt was up when it was checked. */
  void OnEndpointUp(const std::string& aIncarnation);

  /** Returns whether an answer is to be dropped and requested from the largest model instead.
      @param aConfidence  0 to 100, as stated by the endpoint */
  bool NeedsLargerModel(const RequestPlan& aPlan,
                        const AttemptPlan& aAttempt,
                        double aConfidence,
                        TimePoint aNow) const;

  /** Decides whether an answer is to be dropped and requested from the largest model instead, and
      records its confidence and the reason. To be called once for each answer.
      @param aConfidence  0 to 100, as stated by the endpoint
      @returns whether it is to be dropped */
  bool JudgeConfidence(RequestPlan& aPlan,
                       AttemptPlan& aAttempt,
                       double aConfidence,
                       TimePoint aNow);

  /** Records that an answer is accepted although it was to be dropped, because no further attempt
      is possible. */
  static void OnAnswerKept(RequestPlan& aPlan, AttemptPlan& aAttempt);

  /** Returns the timeout for the first byte of an attempt, after which another attempt is made, or
      nothing if the attempt may use all the time that is left. */
  std::optional<std::chrono::milliseconds> FirstByteTimeout(const RequestPlan& aPlan,
                                                            const AttemptPlan& aAttempt,
                                                            TimePoint aNow) const;

  /** Returns how long a stream may pause between events before it resumes on another endpoint. */
  std::chrono::milliseconds StreamPauseTimeout(const RequestPlan& aPlan, TimePoint aNow) const;

  /** Returns the retry usage of each service, for status reports. */
  std::map<ServiceName, RetryWindow::Usage> RetryUsages(TimePoint aNow) const;

  /** Sets the number of live instances, this one included. */
  void SetInstances(std::size_t aInstances);

  /** Sets the live instances, between which the limits of endpoints are divided. */
  void SetInstances(InstanceId aSelf, const std::vector<InstanceId>& aOthers);

  /** Returns whether the zone of an attempt is avoided since the attempt was planned, so that its
      answer is not to be expected soon. */
  bool HasLostZone(const AttemptPlan& aAttempt) const
  {
    return !aAttempt.IsForwarded() && !aAttempt.mIsInAvoidedZone &&
           mZones.IsAvoided(aAttempt.mZone);
  }
  /** Records which instances are live and which others may be, between which the requests of cold
      endpoints are divided. Has no effect unless FleetBounds::mCold is set. */
  void UpdateInstanceBound(const InstanceBound::View& aView, TimePoint aNow);

  /** Returns whether cold endpoints get nothing from this instance, since it does not know how many
      instances may be alive. */
  bool IsColdShareUnknown() const;

  /** Returns whether an endpoint is cold and gets no more than its rate. */
  bool IsCold(FleetRow& aRow, TimePoint aNow) const;

  /** Returns the endpoints that have become cold since the last call, with the time that they stay
      so. */
  std::vector<std::pair<EndpointId, std::chrono::milliseconds>> TakeBecameCold(TimePoint aNow);

  /** Returns whether the endpoints of a service change their speed, so that their load has to be
      known fleet-wide: its configuration names a warm-up, or an endpoint states the pace of its
      machine. Other services are routed by the loads that this instance knows itself. */
  bool UsesFleetLoad(const ServiceName& aService) const;

  FleetTable& Endpoints() { return mEndpoints; }
  RolloutTracker& Rollouts() { return mRollouts; }
  CrashSuspects& Suspects() { return mSuspects; }
  PromptPartSuspects& PartSuspects() { return mPartSuspects; }
  PeerForwarding& Forwarding() { return mForwarding; }
  ZoneReachability& Zones() { return mZones; }
  const HedgePolicy& Hedging() const { return mHedging; }
  const BrittleAdmission& Brittle() const { return mBrittle; }
  ServiceAdmission& Admission() { return mAdmission; }

  /** Removes expired state, and counts answers that are overdue in rollouts. To be called several
      times a second.
      @returns the ids of the endpoints that were dropped */
  std::vector<EndpointId> Tick(TimePoint aNow);

private:
  friend class RouteExplainer;

  /** Copies all state, for RouteExplainer: what the copy decides does not change the original. */
  FleetRouter(const FleetRouter&) = default;

  /** An answer that has not ended, of a service that is being rolled out. */
  struct AwaitedAnswer
  {
    ServiceName mService;
    std::string mVersion;
    RouteClass mClass{};
    LatencyKind mLatencyKind;
    TimePoint mSentAt{};
    bool mIsInLoadTrial = false;                                  /**< Its endpoint was loaded. */
    std::array<bool, kTrialSlowFactors.size()> mIsLevelCounted{}; /**< In the load trial. */
    bool mIsCounted = false;                                      /**< As a slow answer. */
    bool mHasBegun = false;
  };

  /** Answers with a relative latency above this count as slow. */
  static constexpr double kSlowLatencyFactor = 3;

  CandidateLimits Limits() { return { mBrittle, mPacing }; }
  void Trace(CandidateStep aStep, const std::vector<FleetRow*>& aRows) const;
  ServiceName ChooseService(const RelayRoute& aRoute);
  RelayRefusal RefuseLimited(const RequestPlan& aPlan,
                             const std::vector<FleetRow*>& aRows,
                             TimePoint aNow);
  double Draw();
  bool UsesAdmission(const ServiceName& aService) const;
  bool IsEngine(const ServiceName& aService) const;
  double OthersFailureRate(const ServiceName& aService,
                           const EndpointId& aEndpoint,
                           TimePoint aNow) const;
  SizeInputs SizeInputsOf(const RequestPlan& aPlan, std::uint32_t aRuns, TimePoint aNow) const;
  ModelInputs ModelInputsOf(const RequestPlan& aPlan, std::uint32_t aRuns, TimePoint aNow) const;
  ModelChoice::First ChooseModel(const RequestPlan& aPlan, TimePoint aNow);
  RelayRefusal Refuse(const RequestPlan& aPlan, RefusalReason aReason, TimePoint aNow) const;
  bool IsSuspect(const RequestPlan& aPlan, TimePoint aNow) const;
  void CountOverdueAnswers(TimePoint aNow);
  void UpdateFleetLoads(TimePoint aNow);
  void CountTrialAnswer(AwaitedAnswer& aAnswer,
                        const VersionCounts& aCounts,
                        double aRelative,
                        bool aHasBegun);
  AwaitedAnswer EndWait(const AttemptPlan& aAttempt);
  TrialRequest TrialOf(const RequestPlan& aPlan, TimePoint aNow);
  FleetRow* ChooseRow(const RequestPlan& aPlan,
                      const std::vector<FleetRow*>& aRows,
                      TimePoint aNow);
  AttemptPlan PlanFor(const RequestPlan& aPlan, const FleetRow& aRow, TimePoint aNow);
  std::optional<AttemptPlan> PlanForward(RequestPlan& aPlan,
                                         TimePoint aNow,
                                         const std::vector<ZoneName>& aZones = {});
  ZoneSelection SelectZones(const RequestPlan& aPlan,
                            const std::vector<FleetRow*>& aRows,
                            bool aWantsLargest,
                            TimePoint aNow);
  void OnZoneReached(const ZoneName& aZone, TimePoint aNow);
  void OnZoneNotReached(const EndpointId& aEndpoint,
                        const std::string& aIncarnation,
                        bool aIsConnectFailure,
                        TimePoint aNow);
  bool PrefersForwarding(const RequestPlan& aPlan, TimePoint aNow);
  bool TakeBudget(RequestPlan& aPlan, TimePoint aNow);
  HedgeRoom HedgeRoomOf(const RequestPlan& aPlan,
                        const std::vector<FleetRow*>& aRows,
                        TimePoint aNow) const;
  void RecordHedgeLatency(const RequestPlan& aPlan,
                          const AttemptPlan& aAttempt,
                          std::chrono::microseconds aLatency);
  void OnReached();
  void OnNotReached(RequestPlan& aPlan, const AttemptPlan& aAttempt, TimePoint aNow);
  void OnForwardEnded(RequestPlan& aPlan,
                      const AttemptPlan& aAttempt,
                      RelayOutcome aOutcome,
                      TimePoint aNow);

  ZoneName mZone;
  FleetBounds mBounds;
  std::shared_ptr<const ConfigIndex> mConfig;
  FleetTable mEndpoints;
  RolloutTracker mRollouts;
  CrashSuspects mSuspects;
  PromptPartSuspects mPartSuspects;
  LatencyBaseline mLatencies;
  ModelChoice mModelChoice;
  FinishTimePlacement mFinishTimePlacement;
  EndpointLimitShares mLimitShares;
  BrittleAdmission mBrittle;
  ServiceAdmission mAdmission;
  InstanceBound mInstanceBound;
  ColdEndpointPacing mPacing;
  CandidateFilter mFilter;
  PeerForwarding mForwarding;
  ZoneReachability mZones;
  HedgePolicy mHedging;
  std::map<ServiceName, RetryWindow> mRetryWindows;
  std::map<std::uint64_t, AwaitedAnswer> mAwaited; /**< By number of the attempt. */
  std::uint64_t mAttempts = 0;                     /**< Planned so far. */
  std::size_t mInstances = 1;
  std::minstd_rand mRandom;
  CandidateTrace* mTrace = nullptr; /**< Set only in the copies of RouteExplainer. */
};

} // namespace skylarkchute
