#pragma once

#include <skylarkchute_core/skylarkchute_core.h>
#include <skylarkchute_routing/fleet/Fleet.h>

#include <map>

namespace skylarkchute {

/** Logs for which services fleet-wide load is in use and whether the view of it is current, and
    publishes its age. */
class LoadViewMonitor
{
public:
  /** Logs what has changed. Does nothing within kInterval of the last check, so that there is at
     most one line of each kind in that time for a service. */
  void Check(FleetRouter& aRouter, EventLog& aLog, TimePoint aNow);

  /** Sets the gauges of the services that use fleet-wide load. */
  static void SetMetrics(FleetRouter& aRouter, MetricsRegistry& aMetrics, TimePoint aNow);

  static constexpr std::chrono::milliseconds kInterval{ 5000 };

private:
  struct State
  {
    bool mIsUsed = false;
    bool mIsStale = false;
  };

  std::map<ServiceName, State> mStates;
  TimePoint mCheckedAt{};
};

} // namespace skylarkchute
