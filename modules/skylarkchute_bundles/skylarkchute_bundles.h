#pragma once

/** The bundle: what teams may use, how requests are classed, which versions are being rolled. */

#include "events/BundleEvents.h"
#include "evidence/RollShare.h"
#include "evidence/RoutingAlert.h"
#include "evidence/TeamLimits.h"
#include "evidence/VersionEvidence.h"
#include "follower/BundleFollower.h"
#include "identifiers/BundleIdentifiers.h"
#include "lifecycle/ObjectKeys.h"
#include "model/Bundle.h"
#include "model/BundleParser.h"
#include "model/BundleText.h"
#include "parts/BundleHead.h"
#include "parts/BundleParts.h"
