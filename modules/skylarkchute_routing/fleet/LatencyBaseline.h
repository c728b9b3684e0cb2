#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <string>
#include <unordered_map>

namespace skylarkchute {

/** Mean time to the first byte of answers of alike requests. */
class LatencyBaseline
{
public:
  /** Returns a latency against the mean of its kind, 1 while nothing is known.
      @param aKind  route and model */
  double Relative(const std::string& aKind, std::chrono::microseconds aLatency) const;

  /** Takes a latency into the mean of its kind. */
  void Record(const std::string& aKind, std::chrono::microseconds aLatency);

  /** Returns the mean of a kind, or the fallback while nothing is known. */
  std::chrono::milliseconds Mean(const std::string& aKind,
                                 std::chrono::milliseconds aFallback) const;

private:
  std::unordered_map<std::string, double> mMeanMs;
};

} // namespace skylarkchute
