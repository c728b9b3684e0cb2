#pragma once

#include <skylarkchute_ledger/skylarkchute_ledger.h>
#include <skylarkchute_routing/skylarkchute_routing.h>

namespace skylarkchute {

/** Return the refusal for each reason for which the node itself ends a request. Their verdict is
    `not-run` unless an earlier request with the same key may have run. */
RefuseStep RefusalForNoBundle(const RequestId& aRequest);
RefuseStep RefusalForUnconfirmed(const RequestId& aRequest);
RefuseStep RefusalForUnknownKey();
RefuseStep RefusalForNoKeyRing();
RefuseStep RefusalForLeaving(const RequestId& aRequest);
RefuseStep RefusalForLedgerFull(const RequestId& aRequest);
RefuseStep RefusalForToken(const RequestId& aRequest, TokenFault aFault);
RefuseStep RefusalForMissingKey(const RequestId& aRequest);
RefuseStep RefusalForPinStore(const RequestId& aRequest);
RefuseStep RefusalForUsedPermit(const RequestId& aRequest);
RefuseStep RefusalForOutdatedStep(const RequestId& aRequest);

/** Returns the refusal for a claim that was neither granted nor finished. */
RefuseStep RefusalForClaim(const ClaimAnswer& aAnswer);

/** Returns the refusal for a resend of a request that was dispatched without a stored answer. */
RefuseStep RefusalForStoredOutcome(const RequestId& aRequest, const ClaimOutcome& aOutcome);

/** Returns the refusal for a ticket that is not granted and has no stored outcome. */
RefuseStep RefusalForTicket(const RequestId& aRequest, TicketResult aResult);

/** Returns the refusal when the issuer of a ticket does not answer. */
RefuseStep RefusalForTicketIssuer(const RequestId& aRequest);

} // namespace skylarkchute
