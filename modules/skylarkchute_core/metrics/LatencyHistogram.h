#pragma once

#include <boost/histogram.hpp>

#include <chrono>
#include <string>

namespace skylarkchute {

/** Latencies on a logarithmic axis from 0.1 ms to 1000 s. */
class LatencyHistogram
{
public:
  LatencyHistogram();

  /** Counts one latency. */
  void Record(std::chrono::microseconds aLatency);

  /** Returns the upper edge of the bin that holds the quantile, zero when empty.
      @param aQuantile  from 0 to 1 */
  std::chrono::microseconds Quantile(double aQuantile) const;

  /** Returns how many latencies were counted. */
  std::uint64_t Count() const { return mCount; }

  /** Returns the sum of all counted latencies. */
  std::chrono::microseconds Sum() const { return mSum; }

  /** Returns the Prometheus text of one histogram: cumulative buckets in seconds, sum and count.
      @param aName    metric name
      @param aLabels  inner label text such as `class="chat"`, possibly empty */
  std::string PrometheusText(const std::string& aName, const std::string& aLabels) const;

  /** Returns the histogram drawn as text, one non-empty bin a line. */
  std::string Draw() const;

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  Histogram mHistogram;
  std::uint64_t mCount = 0;
  std::chrono::microseconds mSum{ 0 };
};

} // namespace skylarkchute
