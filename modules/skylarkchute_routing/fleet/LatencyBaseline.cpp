#include "LatencyBaseline.h"

#include <algorithm>

namespace skylarkchute {

namespace {

constexpr double kWeight = 0.05;      /**< Of one latency in the moving mean. */
constexpr double kLeastMeanMs = 10;   /**< Differences below this say nothing of an endpoint. */
constexpr double kMostRelative = 3.0; /**< Of one latency, so that outliers don't move the mean. */
constexpr std::size_t kMostKinds = 4096;

} // namespace

double LatencyBaseline::Relative(const std::string& aKind, std::chrono::microseconds aLatency) const
{
  const auto found = mMeanMs.find(aKind);
  if (found == mMeanMs.end()) {
    return 1;
  }
  const double latencyMs = std::chrono::duration<double, std::milli>(aLatency).count();
  return latencyMs / std::max(found->second, kLeastMeanMs);
}

void LatencyBaseline::Record(const std::string& aKind, std::chrono::microseconds aLatency)
{
  const double latencyMs = std::chrono::duration<double, std::milli>(aLatency).count();
  if (mMeanMs.size() >= kMostKinds && mMeanMs.find(aKind) == mMeanMs.end()) {
    mMeanMs.clear();
  }
  const auto [it, isNew] = mMeanMs.emplace(aKind, latencyMs);
  if (!isNew) {
    const double most = kMostRelative * std::max(it->second, kLeastMeanMs);
    it->second += kWeight * (std::min(latencyMs, most) - it->second);
  }
}

std::chrono::milliseconds LatencyBaseline::Mean(const std::string& aKind,
                                                std::chrono::milliseconds aFallback) const
{
  const auto found = mMeanMs.find(aKind);
  return found == mMeanMs.end() ? aFallback
                                : std::chrono::milliseconds(static_cast<int>(found->second));
}

} // namespace skylarkchute
