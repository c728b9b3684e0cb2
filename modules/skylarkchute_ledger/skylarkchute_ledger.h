#pragma once

/** Write-once registers for claims and session pins, session tokens, tickets, usage batches. */

#include "LedgerTypes.h"
#include "claims/ClaimDesk.h"
#include "events/LedgerEvents.h"
#include "pins/PinDesk.h"
#include "registers/RegisterService.h"
#include "registers/WriteOnceRegisters.h"
#include "tickets/TicketOffice.h"
#include "tokens/KeyRing.h"
#include "tokens/SessionTokens.h"
#include "usage/UsageFold.h"
#include "usage/UsageLedger.h"
