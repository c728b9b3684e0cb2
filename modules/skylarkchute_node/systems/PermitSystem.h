#pragma once

#include "../state/EventContext.h"

namespace skylarkchute {

class LedgerSystem;
class RequestSystem;

/** Obtains and ends the permit to run a non-idempotent request at most once. A permit is granted by
    a claim or, if the request key is a ticket, by the ticket's issuer alone. */
class PermitSystem
{
public:
  PermitSystem(NodeParts& aParts, LedgerSystem& aLedger);

  /** Connects the system that receives the answers. Call before anything else. */
  void Connect(RequestSystem& aRequests) { mRequests = &aRequests; }

  /** Requests the permit to run a request; the answer goes to RequestSystem. */
  void RequestPermit(RequestRecord& aRecord, EventContext& aContext);

  /** Must be called right before the one dispatch.
      Uses up the permit; a request that needs none may always be dispatched.
      @returns whether the request may be dispatched: true at most once */
  bool UsePermit(RequestRecord& aRecord);

  /** Reports the outcome of the request and ends its permit. With the verdict NotRun the permit is
      released, so that a resend may run. */
  void ReportEnd(RequestRecord& aRecord, const ClaimOutcome& aOutcome, EventContext& aContext);

  /** Processes the issuer's reply to a TicketRequest.
      @param aMessage  std::nullopt when the call failed or its reply could not be parsed */
  void OnIssuerReply(const RequestId& aRequest,
                     const std::optional<std::string>& aMessage,
                     EventContext& aContext);

  /** Returns the answer to a peer's request to redeem a ticket of this incarnation. */
  std::string AnswerTicketRequest(const std::string& aMessage, WallTime aWall);

  /** Processes a peer's report of the outcome of a ticket's request, and returns the reply. */
  std::string AnswerTicketFinish(const std::string& aMessage);

private:
  void ForwardTicket(RequestRecord& aRecord, const IncarnationId& aIssuer, EventContext& aContext);
  void ReportToIssuer(const RequestRecord& aRecord,
                      const ClaimOutcome& aOutcome,
                      EventContext& aContext);
  void OnTicketAnswer(const RequestId& aRequest,
                      const TicketAnswer& aAnswer,
                      EventContext& aContext);
  void RequestClaim(RequestRecord& aRecord, EventContext& aContext);

  NodeParts& mParts;
  LedgerSystem& mLedger;
  RequestSystem* mRequests = nullptr;
};

} // namespace skylarkchute
