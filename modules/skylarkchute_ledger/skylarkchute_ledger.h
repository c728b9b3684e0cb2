#pragma once

/** Write-once registers for claims and session pins, session tokens, tickets, usage batches. */

#include "LedgerTypes.h"
#include "events/LedgerEvents.h"
#include "registers/WriteOnceRegisters.h"
