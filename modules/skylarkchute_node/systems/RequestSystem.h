#pragma once

#include "../state/NodePass.h"

namespace skylarkchute {

class LedgerSystem;
class RightSystem;

/** Takes requests from admission to their end: router steps, session pins, claims and usage.

    A dispatch step is held back until its session is pinned and, for a non-idempotent request,
    until its claim is durable. */
class RequestSystem
{
public:
  RequestSystem(NodeParts& aParts, LedgerSystem& aLedger, RightSystem& aRights);

  /** Takes in a request of a caller. */
  void Start(NodeRequest aRequest, NodePass& aPass);

  /** Takes in that a caller has gone. */
  void CallerLeft(const RequestId& aRequest, NodePass& aPass);

  /** Takes in the end of an attempt. */
  void AttemptEnded(const RequestId& aRequest,
                    const AttemptId& aAttempt,
                    const AttemptOutcome& aOutcome,
                    AnswerContent aContent,
                    NodePass& aPass);

  /** Carries out the steps of the router. */
  void TakeSteps(const RouterSteps& aSteps, NodePass& aPass);

  /** Takes in the answer to a claim. */
  void TakeClaim(const ClaimAnswer& aAnswer, NodePass& aPass);

  /** Take in what became of the right to run a request. */
  void TakeRightGranted(const RequestId& aRequest, NodePass& aPass);
  void TakeRightFinished(const RequestId& aRequest, const ClaimOutcome& aOutcome, NodePass& aPass);
  void TakeRightRefused(const RefuseStep& aRefusal, NodePass& aPass);

  /** Takes in the answer to a session pin. */
  void TakePin(const PinAnswer& aAnswer, NodePass& aPass);

  /** Takes in that the usage record of a request is safe. */
  void TakeUsageSafe(const RequestId& aRequest, NodePass& aPass);

  /** Starts or refuses the requests that wait for the generation to be confirmed. */
  void Tick(NodePass& aPass);

private:
  void Admit(NodeRequest aRequest, NodePass& aPass);
  bool BindSession(RequestRecord& aRecord, NodePass& aPass);
  void Dispatch(const DispatchStep& aStep, NodePass& aPass);
  void AskPin(RequestRecord& aRecord, NodePass& aPass);
  void Carry(RequestRecord& aRecord, const DispatchStep& aStep, NodePass& aPass);
  void Refuse(const RefuseStep& aRefusal, NodePass& aPass);
  void RefuseHeld(const RefuseStep& aRefusal, NodePass& aPass);
  void Finish(const FinishStep& aStep, NodePass& aPass);
  void DropHeld(RequestRecord& aRecord, NodePass& aPass);
  void RecordUsage(const RequestRecord& aRecord,
                   const std::string& aModel,
                   Verdict aVerdict,
                   NodePass& aPass);
  void AddTokens(const RequestRecord& aRecord,
                 const AttemptId& aAttempt,
                 UsageRecord& aUsage) const;
  std::string TokenFor(const RequestRecord& aRecord, const DispatchStep& aStep, WallTime aWall);
  RequestRecord* Find(const RequestId& aRequest);

  NodeParts& mParts;
  LedgerSystem& mLedger;
  RightSystem& mRights;
};

} // namespace skylarkchute
