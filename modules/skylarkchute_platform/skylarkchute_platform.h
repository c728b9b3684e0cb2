#pragma once

/** Clients of the platform: object API, instance list, and the budget of calls to them. */

#include "budget/CallBudgeter.h"
#include "events/PlatformEvents.h"
#include "instances/InstanceList.h"
#include "instances/InstanceListClient.h"
#include "objects/ObjectApiClient.h"
#include "objects/PlatformCaller.h"
