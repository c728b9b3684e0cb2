#pragma once

/** Types that every other module uses: verdicts, clocks, identifiers, events, metrics, settings. */

#include "errors/Fault.h"
#include "errors/Verdict.h"
#include "events/EventDescription.h"
#include "events/EventLog.h"
#include "events/LogEvent.h"
#include "hashing/Digest.h"
#include "hashing/Placement.h"
#include "identifiers/Identifier.h"
#include "identifiers/Identifiers.h"
#include "metrics/LatencyHistogram.h"
#include "metrics/MetricsRegistry.h"
#include "settings/IniDocument.h"
#include "settings/SectionReader.h"
#include "settings/Settings.h"
#include "settings/ValueText.h"
#include "store/ObjectCall.h"
#include "store/ObjectReply.h"
#include "time/Clock.h"
#include "time/ManualClock.h"
#include "time/SystemClock.h"
