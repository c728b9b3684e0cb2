#pragma once

#include <skylarkchute_ledger/skylarkchute_ledger.h>

#include <optional>
#include <string>

namespace skylarkchute {

/** Peer message `ticket.accept`: hands a ticket in at the incarnation that issued it. */
struct TicketRequest
{
  IncarnationId mIssuer;
  std::string mTicket;
  TeamName mTeam;
  RequestId mRequest;
  Fingerprint mFingerprint;
};

/** Peer message `ticket.finish`: reports the end of a request to the issuer of its ticket. */
struct TicketFinish
{
  RequestId mRequest;
  ClaimOutcome mOutcome;
};

/** Return JSON object text. */
std::string EncodeTicketRequest(const TicketRequest& aQuestion);
std::string EncodeTicketAnswer(const TicketAnswer& aAnswer);
std::string EncodeTicketFinish(const TicketFinish& aFinish);

/** Return what the text says, or nothing when it cannot be read. */
std::optional<TicketRequest> DecodeTicketRequest(const std::string& aText);
std::optional<TicketAnswer> DecodeTicketAnswer(const std::string& aText);
std::optional<TicketFinish> DecodeTicketFinish(const std::string& aText);

} // namespace skylarkchute
