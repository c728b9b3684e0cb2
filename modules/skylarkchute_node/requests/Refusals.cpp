#include "Refusals.h"

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRetryAfterDelay{ 1000 };
constexpr milliseconds kNoRetry{ 0 };

RefuseStep MakeRefusal(const RequestId& aRequest,
                       Verdict aVerdict,
                       int aStatus,
                       const char* aReason,
                       const char* aDetail,
                       milliseconds aRetryAfter)
{
  return { aRequest, aVerdict, aStatus, aReason, aDetail, aRetryAfter };
}

} // namespace

RefuseStep RefusalForNoBundle(const RequestId& aRequest)
{
  return MakeRefusal(aRequest,
                     Verdict::NotRun,
                     503,
                     "no-bundle",
                     "This instance has no bundle in force yet.",
                     kRetryAfterDelay);
}

RefuseStep RefusalForUnconfirmed(const RequestId& aRequest)
{
  return MakeRefusal(aRequest,
                     Verdict::NotRun,
                     503,
                     "generation-unconfirmed",
                     "This instance cannot confirm that its bundle is the newest one.",
                     kRetryAfterDelay);
}

RefuseStep RefusalForUnknownKey()
{
  return MakeRefusal(
    {}, Verdict::NotRun, 401, "unknown-key", "The API key belongs to no team.", kNoRetry);
}

RefuseStep RefusalForNoKeyRing()
{
  return MakeRefusal({},
                     Verdict::NotRun,
                     503,
                     "no-signing-key",
                     "This instance has no signing key for tickets yet.",
                     kRetryAfterDelay);
}

RefuseStep RefusalForLeaving(const RequestId& aRequest)
{
  return MakeRefusal(
    aRequest, Verdict::NotRun, 503, "leaving", "This instance is being stopped.", kRetryAfterDelay);
}

RefuseStep RefusalForLedgerFull(const RequestId& aRequest)
{
  return MakeRefusal(aRequest,
                     Verdict::NotRun,
                     503,
                     "ledger-full",
                     "Too many usage records wait to become durable.",
                     kRetryAfterDelay);
}

RefuseStep RefusalForToken(const RequestId& aRequest, TokenFault aFault)
{
  const auto* detail = aFault == TokenFault::Expired ? "The session token has expired."
                                                     : "The session token is not valid here.";
  const auto* reason = aFault == TokenFault::Expired ? "session-expired" : "session-token-invalid";
  return MakeRefusal(aRequest, Verdict::NotRun, 403, reason, detail, kNoRetry);
}

RefuseStep RefusalForMissingKey(const RequestId& aRequest)
{
  return MakeRefusal(aRequest,
                     Verdict::NotRun,
                     400,
                     "idempotency-key-missing",
                     "This request is non-idempotent and needs an Idempotency-Key.",
                     kNoRetry);
}

RefuseStep RefusalForPinStore(const RequestId& aRequest)
{
  return MakeRefusal(aRequest,
                     Verdict::NotRun,
                     503,
                     "session-store-down",
                     "The version of this session cannot be looked up now.",
                     kRetryAfterDelay);
}

RefuseStep RefusalForUsedPermit(const RequestId& aRequest)
{
  return MakeRefusal(aRequest,
                     Verdict::NotRun,
                     503,
                     "endpoint-refused",
                     "The endpoint did not take the request; it may be sent again.",
                     kRetryAfterDelay);
}

RefuseStep RefusalForOutdatedStep(const RequestId& aRequest)
{
  return MakeRefusal(aRequest,
                     Verdict::NotRun,
                     503,
                     "choice-outdated",
                     "The chosen version or endpoint went out of use before dispatch.",
                     kRetryAfterDelay);
}

RefuseStep RefusalForClaim(const ClaimAnswer& aAnswer)
{
  const auto& request = aAnswer.mRequest;
  switch (aAnswer.mResult) {
    case ClaimResult::Running:
      return MakeRefusal(request,
                         Verdict::MayHaveRun,
                         409,
                         "still-running",
                         "An earlier request with this key still runs.",
                         kRetryAfterDelay);
    case ClaimResult::KeyReused:
      return MakeRefusal(request,
                         Verdict::NotRun,
                         422,
                         "key-reused",
                         "This key belongs to another request.",
                         kNoRetry);
    case ClaimResult::KeySpent:
      return MakeRefusal(request,
                         Verdict::NotRun,
                         409,
                         "key-spent",
                         "This key cannot be used any more; take a new one.",
                         kNoRetry);
    case ClaimResult::StoreDown:
      return MakeRefusal(request,
                         Verdict::NotRun,
                         503,
                         "store-down",
                         "The claim cannot be stored now; use a ticket or come back later.",
                         kRetryAfterDelay);
    case ClaimResult::Granted:
    case ClaimResult::Finished:
    case ClaimResult::MayHaveRun:
      break;
  }
  return MakeRefusal(request,
                     Verdict::MayHaveRun,
                     409,
                     "may-have-run",
                     "An earlier request with this key may have run; its outcome is not known.",
                     kNoRetry);
}

RefuseStep RefusalForStoredOutcome(const RequestId& aRequest, const ClaimOutcome& aOutcome)
{
  return MakeRefusal(aRequest,
                     aOutcome.mVerdict,
                     409,
                     aOutcome.mVerdict == Verdict::Ran ? "ran-before" : "may-have-run",
                     "An earlier request with this key was dispatched; its answer was not kept.",
                     kNoRetry);
}

RefuseStep RefusalForTicket(const RequestId& aRequest, TicketResult aResult)
{
  switch (aResult) {
    case TicketResult::AlreadyRunning:
      return MakeRefusal(aRequest,
                         Verdict::MayHaveRun,
                         409,
                         "still-running",
                         "An earlier request with this ticket still runs.",
                         kRetryAfterDelay);
    case TicketResult::Expired:
      return MakeRefusal(aRequest,
                         Verdict::NotRun,
                         410,
                         "ticket-expired",
                         "The ticket was never used and has expired; take a new one.",
                         kNoRetry);
    case TicketResult::Invalid:
      return MakeRefusal(
        aRequest, Verdict::NotRun, 403, "ticket-invalid", "The ticket is not valid.", kNoRetry);
    case TicketResult::KeyReused:
      return MakeRefusal(aRequest,
                         Verdict::NotRun,
                         422,
                         "key-reused",
                         "This ticket was used for another request.",
                         kNoRetry);
    default:
      return MakeRefusal(aRequest,
                         Verdict::MayHaveRun,
                         409,
                         "may-have-run",
                         "A request with this ticket may have run; its outcome is not known.",
                         kNoRetry);
  }
}

RefuseStep RefusalForTicketIssuer(const RequestId& aRequest)
{
  return MakeRefusal(aRequest,
                     Verdict::MayHaveRun,
                     409,
                     "ticket-issuer-gone",
                     "The instance that issued the ticket does not answer. Take a new ticket only "
                     "if this one was never sent before.",
                     kNoRetry);
}

} // namespace skylarkchute
