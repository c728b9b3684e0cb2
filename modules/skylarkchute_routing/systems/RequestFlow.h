#pragma once

#include "Admission.h"
#include "AttemptSystem.h"
#include "EndpointChoice.h"
#include "LimitSystem.h"
#include "PoolSystem.h"
#include "QueueSystem.h"
#include "RetrySystem.h"
#include "VersionChoice.h"

namespace skylarkchute {

/** Takes each request from admission to its end, by way of the other systems. */
class RequestFlow
{
public:
  RequestFlow(RouterTables& aTables,
              EvidenceSystem& aEvidence,
              HealthSystem& aHealth,
              CascadeSystem& aCascades,
              LimitSystem& aLimits,
              PoolSystem& aPools);

  /** Admits a request and takes its first step. */
  void Start(const RequestFacts& aFacts, TimePoint aNow, RouterSteps& aSteps);

  /** Ends a request whose dispatch step was not carried out. */
  void Withdraw(const RequestId& aRequest, const AttemptId& aAttempt, TimePoint aNow);

  /** Gives the live attempt back and chooses again, on the pinned version. */
  void Repin(const RequestId& aRequest,
             const VersionId& aVersion,
             TimePoint aNow,
             RouterSteps& aSteps);

  /** Takes in the end of an attempt. */
  void OnOutcome(const RequestId& aRequest,
                 const AttemptId& aAttempt,
                 const AttemptOutcome& aOutcome,
                 TimePoint aNow,
                 RouterSteps& aSteps);

  /** Takes in the rating of an answer that is held for it. */
  void OnHeldRating(const RequestId& aRequest,
                    const AttemptId& aAttempt,
                    double aRating,
                    TimePoint aNow,
                    RouterSteps& aSteps);

  /** Drops a request whose caller left. */
  void OnCallerLeft(const RequestId& aRequest, TimePoint aNow, RouterSteps& aSteps);

  /** @see Router::MayCarryOut */
  bool MayCarryOut(const RequestId& aRequest, const AttemptId& aAttempt) const;

  /** Takes in a peer's alert of a suspect fingerprint. */
  void OnAlert(const RoutingAlert& aAlert, TimePoint aNow) { mQuarantine.OnAlert(aAlert, aNow); }

  /** Checks the waiting requests against the versions, endpoints and deadlines. */
  void Tick(TimePoint aNow, RouterSteps& aSteps);

  /** Chooses again for waiting requests whose version can no longer be used, or refuses them. */
  void SweepWaiting(TimePoint aNow, RouterSteps& aSteps);

private:
  /** Cancels the attempts of a request and makes another later. */
  void Recall(RequestRow& aRow, TimePoint aNow, RouterSteps& aSteps);
  /** Chooses version and endpoint for a request without a live attempt, or queues or ends it. */
  void Place(RequestRow& aRow, TimePoint aNow, RouterSteps& aSteps);
  bool ChooseVersion(RequestRow& aRow, TimePoint aNow, RouterSteps& aSteps);
  EndpointRow* GatedEndpoint(const GateDecision& aGate, TimePoint aNow);
  /** Returns whether the row may go on to the queue; else it was sent, delayed or refused. */
  bool PassGate(RequestRow& aRow, TimePoint aNow, RouterSteps& aSteps);
  void DrainQueues(TimePoint aNow, RouterSteps& aSteps);
  void Send(RequestRow& aRow, EndpointRow& aEndpoint, TimePoint aNow, RouterSteps& aSteps);
  void OnAnswer(RequestRow& aRow,
                const AttemptId& aAttempt,
                const AttemptOutcome& aOutcome,
                TimePoint aNow,
                RouterSteps& aSteps);
  /** Serves a held answer or asks a dearer model. */
  void DecideHeld(RequestRow& aRow,
                  std::optional<double> aRating,
                  TimePoint aNow,
                  RouterSteps& aSteps);
  void OnFailure(RequestRow& aRow,
                 const AttemptOutcome& aOutcome,
                 TimePoint aNow,
                 RouterSteps& aSteps);
  void Finish(RequestRow& aRow, AttemptId aAttempt, TimePoint aNow, RouterSteps& aSteps);
  void CancelLive(RequestRow& aRow, TimePoint aNow, RouterSteps& aSteps);
  void Refuse(RequestRow& aRow, RefuseStep aStep, TimePoint aNow, RouterSteps& aSteps);
  void End(RequestRow& aRow);
  void CheckDeadlines(TimePoint aNow, RouterSteps& aSteps);
  void StartHedges(TimePoint aNow, RouterSteps& aSteps);
  RefuseStep RefusalFor(const RequestRow& aRow, AttemptEnd aEnd, TimePoint aNow);

  RouterTables& mTables;
  EvidenceSystem& mEvidence;
  CascadeSystem& mCascades;
  LimitSystem& mLimits;
  PoolSystem& mPools;
  Admission mAdmission;
  VersionChoice mVersions;
  EndpointChoice mEndpoints;
  QueueSystem mQueues;
  RetrySystem mRetries;
  QuarantineSystem mQuarantine;
  AttemptSystem mAttempts;
  TimePoint mNextShed{};
};

} // namespace skylarkchute
