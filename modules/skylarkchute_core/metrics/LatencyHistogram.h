#pragma once

#include <boost/histogram.hpp>

#include <chrono>
#include <string>

namespace skylarkchute {

/** Histogram of latencies on a logarithmic axis from 0.1 ms to 1000 s. Latencies outside it are
    counted in the first or last bin. */
class LatencyHistogram
{
public:
  LatencyHistogram();

  /** Adds one latency. */
  void Record(std::chrono::microseconds aLatency);

  /** Returns the upper edge of the bin that contains the quantile, or zero if nothing was recorded.
      @param aQuantile  from 0 to 1 */
  std::chrono::microseconds Quantile(double aQuantile) const;

  /** Returns the number of recorded latencies. */
  std::uint64_t Count() const { return mCount; }

  /** Returns the sum of all recorded latencies. */
  std::chrono::microseconds Sum() const { return mSum; }

  /** Returns the histogram in Prometheus text format: cumulative buckets in seconds, sum and count.
      @param aName    metric name
      @param aLabels  labels without braces, such as `class="chat"`; may be empty */
  std::string PrometheusText(const std::string& aName, const std::string& aLabels) const;

  /** Returns the histogram as a bar chart in plain text, one line for each non-empty bin. */
  std::string RenderText() const;

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  Histogram mHistogram;
  std::uint64_t mCount = 0;
  std::chrono::microseconds mSum{ 0 };
};

} // namespace skylarkchute
