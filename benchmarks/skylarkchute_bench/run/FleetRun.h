#pragma once

#include "FakeEndpoints.h"
#include "PromiseChecker.h"
#include "RequestSource.h"
#include "RunOptions.h"
#include "routers/BenchRouter.h"

#include <memory>
#include <unordered_map>

namespace skylarkchute {

/** Simulates a fleet: sends one workload through several routers on one simulated clock and records
    the results. */
class FleetRun
{
public:
  /** @param aWorkload  must outlive the run */
  FleetRun(const Workload& aWorkload, const RunOptions& aOptions);

  /** Runs for RunOptions::mLength, then until every request's deadline has passed. Call it once. */
  RunRecord Run();

private:
  struct Instance
  {
    std::unique_ptr<BenchRouter> mRouter;
    std::vector<VersionEvidence> mEvidence; /**< Not yet sent to the other instances. */
    std::optional<std::chrono::microseconds> mFirstError;
    std::optional<std::chrono::microseconds> mLastRollingDispatch;
  };

  struct OpenAttempt
  {
    std::size_t mRequest = 0; /**< Index into RunRecord::mRequests. */
    AttemptFacts mFacts;
    std::chrono::microseconds mStarted{ 0 }; /**< Start in a slot; before it, the dispatch. */
    bool mComplete = false;
    std::chrono::microseconds mDuration{ 0 };
  };

  std::chrono::microseconds Elapsed() const;
  void StartInstances();
  void ScheduleArrival();
  void Arrive();
  void PrepareSession(GeneratedRequest& aRequest);
  void Every(std::chrono::microseconds aPeriod, const std::function<void()>& aCall);

  void Handle(std::size_t aInstance, const RouterSteps& aSteps);
  void Execute(std::size_t aInstance, const RefuseStep& aStep);
  void Execute(std::size_t aInstance, const WaitStep& aStep);
  void Execute(std::size_t aInstance, const DispatchStep& aStep);
  void Execute(std::size_t aInstance, const CancelStep& aStep);
  void Execute(std::size_t aInstance, const FinishStep& aStep);
  void End(RequestRecord& aRecord);

  void OnStarted(const AttemptId& aAttempt);
  void OnFirstToken(const AttemptId& aAttempt);
  void OnEnded(const AttemptId& aAttempt, const AttemptOutcome& aOutcome);
  void RecordOutcome(OpenAttempt& aAttempt, const AttemptOutcome& aOutcome);
  void RecordExposure(std::size_t aInstance, const OpenAttempt& aAttempt);

  void TakeReports(std::size_t aInstance);
  void BroadcastAlert(std::size_t aInstance, const RoutingAlert& aAlert);
  void Rate(std::size_t aInstance, const RatingCandidate& aCandidate);
  void SendLoads();
  void SendEndpoints();
  void SendEvidence();
  void SetStage(double aPercent);

  double PriceOf(const std::optional<VersionId>& aVersion) const;

  const Workload& mWorkload;
  RunOptions mOptions;
  Timeline mTimeline;
  TimePoint mStart;
  GroundTruth mGroundTruth;
  FakeEndpoints mFakeEndpoints;
  RequestSource mSource;
  PromiseChecker mPromises;
  std::vector<Instance> mInstances;
  RunRecord mRun;
  std::vector<std::uint32_t> mCompletionTokens;
  std::unordered_map<RequestId, std::size_t> mRequests;
  std::unordered_map<AttemptId, OpenAttempt> mAttempts;
  /** First request of each session whose first dispatch is pending. */
  std::map<std::size_t, RequestId> mPendingSessionStarts;
  std::vector<EndpointRecord> mLastEndpoints;
};

} // namespace skylarkchute
