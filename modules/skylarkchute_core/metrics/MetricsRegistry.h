#pragma once

#include "LatencyHistogram.h"

#include <map>
#include <mutex>
#include <string>

namespace skylarkchute {

/** Named counters, gauges and latency histograms of one process. Safe to use from several threads.

    Names are Prometheus metric names; labels are inner label text such as `class="chat"`. */
class MetricsRegistry
{
public:
  /** Adds to a counter. */
  void Add(const std::string& aName, const std::string& aLabels, double aAmount = 1);

  /** Sets a gauge. */
  void Set(const std::string& aName, const std::string& aLabels, double aValue);

  /** Counts a latency. */
  void Record(const std::string& aName,
              const std::string& aLabels,
              std::chrono::microseconds aLatency);

  /** Returns the value of a counter or gauge, zero when it was never set. */
  double Value(const std::string& aName, const std::string& aLabels) const;

  /** Returns a copy of a histogram, empty when nothing was recorded. */
  LatencyHistogram Histogram(const std::string& aName, const std::string& aLabels) const;

  /** Returns the labels under which @p aName has a histogram. */
  std::vector<std::string> HistogramLabels(const std::string& aName) const;

  /** Returns everything in the Prometheus text format. */
  std::string PrometheusText() const;

private:
  struct SeriesKey
  {
    std::string mName;
    std::string mLabels;
    auto operator<=>(const SeriesKey&) const = default;
  };

  mutable std::mutex mMutex;
  std::map<SeriesKey, double> mValues;
  std::map<SeriesKey, LatencyHistogram> mHistograms;
};

} // namespace skylarkchute
