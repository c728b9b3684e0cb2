#pragma once

#include "../endpoints/CrashProbe.h"
#include "../endpoints/EndpointPool.h"
#include "StartQueue.h"

#include <boost/asio/io_context.hpp>
#include <skylarkchute_routing/fleet/Fleet.h>

namespace skylarkchute {

/** What the parts of one relay share. Owned by the runtime, which outlives them. */
struct RelayContext
{
  boost::asio::io_context& mLoop;
  FleetRouter& mRouter;
  EndpointPool& mPool;
  CrashProbe& mCrashProbe;
  StartQueue& mStartQueue;
  const EventLog& mLog;
  MetricsRegistry& mMetrics;
  const bool& mIsLeaving;  /**< Set once the process was told to stop. */
  const bool& mRefusesNew; /**< Set once a new request might outlast the process. */
};

} // namespace skylarkchute
