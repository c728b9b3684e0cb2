#pragma once

#include "../state/EventContext.h"

namespace skylarkchute {

class LedgerSystem;
class PermitSystem;

/** Takes requests from admission to their end: router steps, session pins, claims and usage.

    A dispatch step is held back until its session is pinned and, for a non-idempotent request,
    until its claim is durable. */
class RequestSystem
{
public:
  RequestSystem(NodeParts& aParts, LedgerSystem& aLedger, PermitSystem& aRights);

  /** Takes in a request of a caller. */
  void Start(NodeRequest aRequest, EventContext& aContext);

  /** Takes in that a caller has gone. */
  void CallerLeft(const RequestId& aRequest, EventContext& aContext);

  /** Takes in the end of an attempt. */
  void AttemptEnded(const RequestId& aRequest,
                    const AttemptId& aAttempt,
                    const AttemptOutcome& aOutcome,
                    AnswerContent aContent,
                    EventContext& aContext);

  /** Carries out the steps of the router. */
  void ApplySteps(const RouterSteps& aSteps, EventContext& aContext);

  /** Takes in the answer to a claim. */
  void OnClaimAnswer(const ClaimAnswer& aAnswer, EventContext& aContext);

  /** Take in what became of the right to run a request. */
  void OnPermitGranted(const RequestId& aRequest, EventContext& aContext);
  void OnAlreadyFinished(const RequestId& aRequest,
                         const ClaimOutcome& aOutcome,
                         EventContext& aContext);
  void OnPermitRefused(const RefuseStep& aRefusal, EventContext& aContext);

  /** Takes in the answer to a session pin. */
  void OnPinAnswer(const PinAnswer& aAnswer, EventContext& aContext);

  /** Takes in that the usage record of a request is safe. */
  void OnUsageSafe(const RequestId& aRequest, EventContext& aContext);

  /** Starts or refuses the requests that wait for the generation to be confirmed. */
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
