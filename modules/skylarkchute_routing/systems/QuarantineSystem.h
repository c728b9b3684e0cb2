#pragma once

#include "../requests/AttemptOutcome.h"
#include "../tables/RouterTables.h"

#include <variant>

namespace skylarkchute {

/** The request may go anywhere. */
struct GateFree
{};

/** The request waits: others must be heard of first, or a copy of it runs. */
struct GateWait
{
  TimePoint mUntil;
};

/** The request may go to this endpoint only. */
struct GateOnly
{
  EndpointId mEndpoint;
};

/** The request is a suspect and is tried on this endpoint, even when that has no room. */
struct GateTrial
{
  EndpointId mEndpoint;
};

/** The fingerprint is refused. */
struct GateQuarantined
{};

using GateDecision = std::variant<GateFree, GateWait, GateOnly, GateTrial, GateQuarantined>;

/** Keeps a request that crashes endpoints from more than two of them.

    A fingerprint that was at an endpoint when it crashed is suspect, and peers are told. A suspect
    is tried again after a pause in which alerts arrive, one copy at a time, on an endpoint without
    another suspect of this instance. If that endpoint crashes too the fingerprint is refused
    everywhere; if the attempt completes it is cleared. Copies of a fingerprint that has never
    completed share one endpoint. */
class QuarantineSystem
{
public:
  explicit QuarantineSystem(RouterTables& aTables) : mTables(aTables) {}

  /** Decides where the request may go next.
      @param aPool  members from which a suspect's endpoint is taken */
  GateDecision Check(RequestRow& aRow, const PoolRow& aPool, TimePoint aNow);

  /** Returns whether the fingerprint is refused. */
  bool IsQuarantined(const Fingerprint& aFingerprint, TimePoint aNow);

  /** Returns whether the fingerprint was at a crash and has not completed since. */
  bool IsSuspect(const Fingerprint& aFingerprint);

  /** Returns whether the attempts of the request should be cancelled and made again later: a peer
      saw the fingerprint at a crash, and it has never completed here. */
  bool ShouldRecall(const RequestRow& aRow);

  /** Notes that an attempt was opened. */
  void OnOpen(const RequestRow& aRow, const AttemptRow& aAttempt);

  /** Notes that an attempt ended, or was released without an outcome. */
  void OnClose(RequestRow& aRow,
               const AttemptRow& aAttempt,
               const AttemptOutcome* aOutcome,
               TimePoint aNow);

  /** Takes in an alert of a peer. */
  void OnAlert(const RoutingAlert& aAlert, TimePoint aNow);

private:
  void OnCrash(RequestRow& aRow, const EndpointId& aEndpoint, TimePoint aNow);
  void CountCrash(SuspectRow& aSuspect, const std::optional<EndpointId>& aEndpoint, TimePoint aNow);
  void QuarantineIfDue(const Fingerprint& aFingerprint, SuspectRow& aSuspect, TimePoint aNow);
  bool HoldsSuspect(const EndpointId& aEndpoint);
  /** Returns the endpoint of a trial, the same on every instance, or null when it has to wait. */
  const EndpointId* TrialEndpoint(const RequestRow& aRow,
                                  const SuspectRow& aSuspect,
                                  const PoolRow& aPool,
                                  TimePoint aNow);

  RouterTables& mTables;
};

} // namespace skylarkchute
