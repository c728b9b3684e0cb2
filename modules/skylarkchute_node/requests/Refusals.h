#pragma once

#include <skylarkchute_ledger/skylarkchute_ledger.h>
#include <skylarkchute_routing/skylarkchute_routing.h>

namespace skylarkchute {

/** Return why a request ends, for each reason of the node itself. All say `not-run` unless an
    earlier run of the same request may have run. */
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

/** Returns the refusal for a request that ended before without an answer that could be kept. */
RefuseStep RefusalForStoredOutcome(const RequestId& aRequest, const ClaimOutcome& aOutcome);

/** Returns the refusal for a ticket that neither runs nor has an outcome. */
RefuseStep RefusalForTicket(const RequestId& aRequest, TicketResult aResult);

/** Returns the refusal when the issuer of a ticket cannot be asked. */
RefuseStep RefusalForTicketIssuer(const RequestId& aRequest);

} // namespace skylarkchute
