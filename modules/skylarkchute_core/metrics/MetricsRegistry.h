#pragma once

#include "LatencyHistogram.h"

#include <map>
#include <mutex>
#include <string>

namespace skylarkchute {

/** Named counters, gauges and latency histograms of one process. Thread-safe.

    Names are Prometheus metric names; labels are given without braces, such as `class="chat"`. */
class MetricsRegistry
{
public:
  /** Adds to a counter. */
  void Add(const std::string& aName, const std::string& aLabels, double aAmount = 1);

  /** Sets a gauge. */
  void Set(const std::string& aName, const std::string& aLabels, double aValue);

  /** Adds a latency to a histogram. */
  void Record(const std::string& aName,
              const std::string& aLabels,
              std::chrono::microseconds aLatency);

  /** Returns the value of a counter or gauge, or zero if it was never set. */
  double Value(const std::string& aName, const std::string& aLabels) const;

  /** Returns a copy of a histogram, which is empty if nothing was recorded. */
  LatencyHistogram Histogram(const std::string& aName, const std::string& aLabels) const;

  /** Returns the labels of all histograms named @p aName. */
  std::vector<std::string> HistogramLabels(const std::string& aName) const;

  /** Returns all metrics in Prometheus text format. */
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
