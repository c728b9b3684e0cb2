#pragma once

#include "../state/EventContext.h"

namespace skylarkchute {

class LedgerSystem;
class PermitSystem;

/** Processes requests from admission to their end: router steps, session pins, permits and usage
    records.

    A dispatch step is held back until its session is pinned and, for a non-idempotent request,
    until its claim is durable or the issuer of its ticket has granted the permit. */
class RequestSystem
{
public:
  RequestSystem(NodeParts& aParts, LedgerSystem& aLedger, PermitSystem& aPermits);

  /** Admits, queues or refuses a caller's request. */
  void Start(NodeRequest aRequest, EventContext& aContext);

  /** Ends the request of a caller that has disconnected, unless it is non-idempotent and was
      dispatched: its outcome is still needed for a resend. */
  void OnCallerDisconnected(const RequestId& aRequest, EventContext& aContext);

  /** Processes the end of an attempt. */
  void AttemptEnded(const RequestId& aRequest,
                    const AttemptId& aAttempt,
                    const AttemptOutcome& aOutcome,
                    AnswerContent aContent,
                    EventContext& aContext);

  /** Carries out the steps of the router. */
  void ApplySteps(const RouterSteps& aSteps, EventContext& aContext);

  /** Processes the answer to a claim. */
  void OnClaimAnswer(const ClaimAnswer& aAnswer, EventContext& aContext);

  /** Process the answer to a permit request: granted, already finished with a stored outcome, or
      refused. */
  void OnPermitGranted(const RequestId& aRequest, EventContext& aContext);
  void OnAlreadyFinished(const RequestId& aRequest,
                         const ClaimOutcome& aOutcome,
                         EventContext& aContext);
  void OnPermitRefused(const RefuseStep& aRefusal, EventContext& aContext);

  /** Processes the answer to a session pin. */
  void OnPinAnswer(const PinAnswer& aAnswer, EventContext& aContext);

  /** Ends the answer of a request whose usage record is stored or backed up, or has waited for
      that for the longest allowed time. */
  void OnUsageReleased(const RequestId& aRequest, EventContext& aContext);

  /** Processes the router's time limits, and admits or refuses the requests that wait for the
      generation to be confirmed. */
  void Tick(EventContext& aContext);

private:
  void Admit(NodeRequest aRequest, EventContext& aContext);
  bool BindSession(RequestRecord& aRecord, EventContext& aContext);
  void Dispatch(const DispatchStep& aStep, EventContext& aContext);
  void RequestPin(RequestRecord& aRecord, EventContext& aContext);
  void SendDispatch(RequestRecord& aRecord, const DispatchStep& aStep, EventContext& aContext);
  void Refuse(const RefuseStep& aRefusal, EventContext& aContext);
  void RefusePending(const RefuseStep& aRefusal, EventContext& aContext);
  void Finish(const FinishStep& aStep, EventContext& aContext);
  void WithdrawPending(RequestRecord& aRecord, EventContext& aContext);
  void RecordUsage(const RequestRecord& aRecord,
                   const std::string& aModel,
                   Verdict aVerdict,
                   EventContext& aContext);
  void AddTokens(const RequestRecord& aRecord,
                 const AttemptId& aAttempt,
                 UsageRecord& aUsage) const;
  std::string SessionTokenFor(const RequestRecord& aRecord,
                              const DispatchStep& aStep,
                              WallTime aWall);
  RequestRecord* Find(const RequestId& aRequest);

  NodeParts& mParts;
  LedgerSystem& mLedger;
  PermitSystem& mPermits;
};

} // namespace skylarkchute
