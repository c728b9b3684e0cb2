#pragma once

#include "CallerBudget.h"

namespace skylarkchute {

/** Writes what a CallerBudget counted to log and metrics, at most one line of each event for each
    call. Calls are seconds apart, which bounds the volume. */
class CallerReport
{
public:
  CallerReport(const EventLog& aLog, MetricsRegistry& aMetrics) : mLog(aLog), mMetrics(aMetrics) {}

  /** @param aAddress  which address the connections are at, such as `callers` */
  void Write(CallerBudget& aBudget, const std::string& aAddress);

private:
  const EventLog& mLog;
  MetricsRegistry& mMetrics;
};

} // namespace skylarkchute
