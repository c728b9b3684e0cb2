#pragma once

/** The bundle: what teams may use, how requests are classed, which versions are being rolled. */

#include "evidence/RollShare.h"
#include "evidence/RoutingAlert.h"
#include "evidence/TeamLimits.h"
#include "evidence/VersionEvidence.h"
#include "model/Bundle.h"
