#pragma once

#include "../endpoints/CrashProbe.h"
#include "../endpoints/EndpointPool.h"
#include "AdmissionWaiters.h"
#include "AnswerMemory.h"
#include "StartupQueue.h"

#include <boost/asio/io_context.hpp>
#include <skylarkchute_routing/fleet/Fleet.h>

namespace skylarkchute {

/** Retry-After of requests refused during shutdown. It is short because another instance can serve
    the retry at once. */
inline constexpr std::chrono::milliseconds kShutdownRetryAfter{ 20 };

/** References shared by the components of one relay. The objects are owned by the runtime, which
    outlives the components. */
struct RelayContext
{
  boost::asio::io_context& mLoop;
  FleetRouter& mRouter;
  EndpointPool& mPool;
  CrashProbe& mCrashProbe;
  StartupQueue& mStartupQueue;
  AnswerMemory& mAnswerMemory;
  const EventLog& mLog;
  MetricsRegistry& mMetrics;
  const bool& mIsLeaving;      /**< Set once the process has received a stop signal. */
  const bool& mRefusesNew;     /**< Set once a new request might not finish before the
                                    process exits. */
  AdmissionWaiters mWaiters{}; /**< Owned by the context itself. */
};

} // namespace skylarkchute
