#pragma once

#include <skylarkchute_ledger/skylarkchute_ledger.h>

#include <optional>
#include <string>

namespace skylarkchute {

/** Peer message `ticket.accept`: asks the incarnation that issued a ticket to redeem it, so that
    the ticket's request may run. */
struct TicketRequest
{
  IncarnationId mIssuer;
  std::string mTicket;
  TeamName mTeam;
  RequestId mRequest;
  Fingerprint mFingerprint;
};

/** Peer message `ticket.finish`: reports the outcome of a request to the issuer of its ticket. */
struct TicketFinish
{
  RequestId mRequest;
  ClaimOutcome mOutcome;
};

/** Encode a message as JSON object text. */
std::string EncodeTicketRequest(const TicketRequest& aRequest);
std::string EncodeTicketAnswer(const TicketAnswer& aAnswer);
std::string EncodeTicketFinish(const TicketFinish& aFinish);

/** Parse a message. Return std::nullopt if the text cannot be read. */
std::optional<TicketRequest> DecodeTicketRequest(const std::string& aText);
std::optional<TicketAnswer> DecodeTicketAnswer(const std::string& aText);
std::optional<TicketFinish> DecodeTicketFinish(const std::string& aText);

} // namespace skylarkchute
