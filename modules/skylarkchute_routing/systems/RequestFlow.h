#pragma once

#include "Admission.h"
#include "AttemptSystem.h"
#include "EndpointSelector.h"
#include "LimitSystem.h"
#include "PoolSystem.h"
#include "QueueSystem.h"
#include "RetrySystem.h"
#include "VersionSelector.h"

namespace skylarkchute {

/** Controls each request from admission to its end, using the other systems. */
class RequestFlow
{
public:
  RequestFlow(RouterTables& aTables,
              EvidenceSystem& aEvidence,
              HealthSystem& aHealth,
              CascadeSystem& aCascades,
              LimitSystem& aLimits,
              PoolSystem& aPools);

  /** Admits a request and appends its first steps to @p aSteps. */
  void Start(const RequestFacts& aFacts, TimePoint aNow, RouterSteps& aSteps);

  /** Ends a request whose dispatch step was not carried out. */
  void Withdraw(const RequestId& aRequest, const AttemptId& aAttempt, TimePoint aNow);

  /** Releases the live attempts and dispatches the request again, on the pinned version. */
  void Repin(const RequestId& aRequest,
             const VersionId& aVersion,
             TimePoint aNow,
             RouterSteps& aSteps);

  /** Handles the end of an attempt. */
  void OnOutcome(const RequestId& aRequest,
                 const AttemptId& aAttempt,
                 const AttemptOutcome& aOutcome,
                 TimePoint aNow,
                 RouterSteps& aSteps);

  /** Handles the rating, 0 to 1, of a held response. Does nothing when it is no longer held. */
  void OnHeldRating(const RequestId& aRequest,
                    const AttemptId& aAttempt,
                    double aRating,
                    TimePoint aNow,
                    RouterSteps& aSteps);

  /** Cancels a request whose caller disconnected. */
  void OnCallerDisconnected(const RequestId& aRequest, TimePoint aNow, RouterSteps& aSteps);

  /** @see Router::MayDispatch */
  bool MayDispatch(const RequestId& aRequest, const AttemptId& aAttempt) const;

  /** Handles a peer's alert about a suspect fingerprint. */
  void OnAlert(const RoutingAlert& aAlert, TimePoint aNow) { mQuarantine.OnAlert(aAlert, aNow); }

  /** Performs the work that is due: deadlines, retries, held responses, queues, hedges and
      shedding. */
  void Tick(TimePoint aNow, RouterSteps& aSteps);

  /** Chooses again for, or refuses, waiting requests whose version can no longer be used or whose
      fingerprint is quarantined, and retries attempts of fingerprints that have become suspect.
      Does nothing unless RouterTables::mWaitingChanged is set. */
  void RecheckWaiting(TimePoint aNow, RouterSteps& aSteps);

private:
  /** Cancels the attempts of a request and schedules a retry. */
  void CancelAndRetry(RequestRow& aRow, TimePoint aNow, RouterSteps& aSteps);
  /** Chooses a version and an endpoint for a request without a live attempt and dispatches it, or
      queues, delays or refuses it. */
  void Place(RequestRow& aRow, TimePoint aNow, RouterSteps& aSteps);
  bool ChooseVersion(RequestRow& aRow, TimePoint aNow, RouterSteps& aSteps);
  EndpointRow* EndpointForDecision(const QuarantineDecision& aDecision, TimePoint aNow);
  /** Applies the quarantine decision on a request.
      @returns whether the request may use any endpoint; if not, it was sent, delayed or refused */
  bool ApplyQuarantine(RequestRow& aRow, TimePoint aNow, RouterSteps& aSteps);
  void DrainQueues(TimePoint aNow, RouterSteps& aSteps);
  void Send(RequestRow& aRow, EndpointRow& aEndpoint, TimePoint aNow, RouterSteps& aSteps);
  void OnResponse(RequestRow& aRow,
                  const AttemptId& aAttempt,
                  const AttemptOutcome& aOutcome,
                  TimePoint aNow,
                  RouterSteps& aSteps);
  /** Serves a held response or escalates to a more expensive model. */
  void ResolveHeldResponse(RequestRow& aRow,
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
  void RemoveRequest(RequestRow& aRow);
  void CheckDeadlines(TimePoint aNow, RouterSteps& aSteps);
  void StartHedges(TimePoint aNow, RouterSteps& aSteps);
  RefuseStep RefusalFor(const RequestRow& aRow, AttemptEnd aEnd, TimePoint aNow);

  RouterTables& mTables;
  EvidenceSystem& mEvidence;
  CascadeSystem& mCascades;
  LimitSystem& mLimits;
  PoolSystem& mPools;
  Admission mAdmission;
  VersionSelector mVersions;
  EndpointSelector mEndpoints;
  QueueSystem mQueues;
  RetrySystem mRetries;
  QuarantineSystem mQuarantine;
  AttemptSystem mAttempts;
  TimePoint mNextShed{};
};

} // namespace skylarkchute
