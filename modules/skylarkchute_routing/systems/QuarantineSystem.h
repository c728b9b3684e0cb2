#pragma once

#include "../requests/AttemptOutcome.h"
#include "../tables/RouterTables.h"

#include <variant>

namespace skylarkchute {

/** The request may be sent to any endpoint. */
struct UseAnyEndpoint
{};

/** The request waits: for alerts of peers, for a live attempt of its fingerprint to end, or for a
    suitable endpoint. */
struct DelayUntil
{
  TimePoint mUntil;
};

/** The request may be sent to this endpoint only. */
struct RequireEndpoint
{
  EndpointId mEndpoint;
};

/** The fingerprint is suspect; the request is tried on this endpoint, even without a free slot. */
struct TryOnEndpoint
{
  EndpointId mEndpoint;
};

/** The fingerprint is quarantined; the request is refused. */
struct RefuseRequest
{};

using QuarantineDecision =
  std::variant<UseAnyEndpoint, DelayUntil, RequireEndpoint, TryOnEndpoint, RefuseRequest>;

/** Limits the damage of a request that crashes endpoints to two of them.

    A fingerprint that was running on an endpoint when it crashed becomes suspect, and the peers are
    alerted. A suspect is retried after a delay in which alerts of peers can arrive, one attempt at
    a time, on an endpoint that runs no other suspect of this instance. If that endpoint crashes as
    well, the fingerprint is refused by all instances; if the attempt completes, the fingerprint is
    no longer suspect. Concurrent requests with a fingerprint that has never completed share one
    endpoint. */
class QuarantineSystem
{
public:
  explicit QuarantineSystem(RouterTables& aTables) : mTables(aTables) {}

  /** Decides where the request may be sent next.
      @param aPool  pool of the request; its hosting endpoints are the candidates for a suspect */
  QuarantineDecision Check(RequestRow& aRow, const PoolRow& aPool, TimePoint aNow);

  /** Returns whether requests with the fingerprint are refused. */
  bool IsQuarantined(const Fingerprint& aFingerprint, TimePoint aNow);

  /** Returns whether the fingerprint was running during a crash and has not completed since. */
  bool IsSuspect(const Fingerprint& aFingerprint);

  /** Returns whether the attempts of the request should be cancelled and retried later, because
      its fingerprint became suspect, usually by a peer's alert, after a crash of another endpoint
      and has not completed on this instance. False for non-idempotent requests, trials, and
      attempts with a first token. */
  bool ShouldCancelAndRetry(const RequestRow& aRow);

  /** Records that an attempt was opened. */
  void OnOpen(const RequestRow& aRow, const AttemptRow& aAttempt);

  /** Records that an attempt ended.
      @param aOutcome  null when the attempt was released without an outcome */
  void OnClose(RequestRow& aRow,
               const AttemptRow& aAttempt,
               const AttemptOutcome* aOutcome,
               TimePoint aNow);

  /** Applies an alert of a peer. */
  void OnAlert(const RoutingAlert& aAlert, TimePoint aNow);

private:
  void OnCrash(RequestRow& aRow, const EndpointId& aEndpoint, TimePoint aNow);
  void CountCrash(SuspectRow& aSuspect, const std::optional<EndpointId>& aEndpoint, TimePoint aNow);
  void QuarantineAtThreshold(const Fingerprint& aFingerprint, SuspectRow& aSuspect, TimePoint aNow);
  bool HasLiveSuspect(const EndpointId& aEndpoint);
  /** Returns the endpoint on which to try a suspect, or null when it has to wait. Instances with
      the same view of the endpoints choose the same one. */
  const EndpointId* TrialEndpoint(const RequestRow& aRow,
                                  const SuspectRow& aSuspect,
                                  const PoolRow& aPool,
                                  TimePoint aNow);

  RouterTables& mTables;
};

} // namespace skylarkchute
