#pragma once

/** Write-once registers for claims and session pins, session tokens, tickets, usage batches. */

#include "LedgerTypes.h"
#include "claims/ClaimManager.h"
#include "events/LedgerEvents.h"
#include "pins/PinManager.h"
#include "registers/RegisterService.h"
#include "registers/WriteOnceRegisters.h"
#include "tickets/TicketIssuer.h"
#include "tokens/KeyRing.h"
#include "tokens/SessionTokens.h"
#include "usage/UsageBill.h"
#include "usage/UsageLedger.h"
