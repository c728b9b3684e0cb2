#include "LatencyBaseline.h"

#include <algorithm>
#include <bit>

namespace skylarkchute {

namespace {

/** Weight of one latency in the moving mean. */
constexpr double kSampleWeight = 0.1;

/** Smallest mean to compare with: differences below it say nothing about an endpoint. */
constexpr double kMinMeanMs = 10;

/** Limits one latency relative to the mean, so that outliers do not move it. */
constexpr double kMaxRelativeLatency = 3.0;

/** Limits the extrapolation from shorter prompts. */
constexpr double kMaxScale = 64;

constexpr std::size_t kMaxKinds = 1024;

std::size_t BucketOf(const LatencyKind& aKind, std::size_t aBuckets)
{
  return std::min<std::size_t>(std::bit_width(aKind.mPromptTokens), aBuckets - 1);
}

} // namespace

double LatencyBaseline::RelativeLatency(const LatencyKind& aKind,
                                        std::chrono::microseconds aLatency) const
{
  const auto found = mMeans.find(aKind.mName);
  const double mean = found == mMeans.end() ? 0 : found->second[BucketOf(aKind, kLengthBuckets)];
  if (mean <= 0) {
    return 1;
  }
  const double latencyMs = std::chrono::duration<double, std::milli>(aLatency).count();
  return latencyMs / std::max(mean, kMinMeanMs);
}

void LatencyBaseline::Record(const LatencyKind& aKind, std::chrono::microseconds aLatency)
{
  if (mMeans.size() >= kMaxKinds && mMeans.find(aKind.mName) == mMeans.end()) {
    mMeans.clear();
  }
  const double latencyMs = std::chrono::duration<double, std::milli>(aLatency).count();
  auto& mean = mMeans[aKind.mName][BucketOf(aKind, kLengthBuckets)];
  if (mean <= 0) {
    mean = latencyMs;
    return;
  }
  const double limit = kMaxRelativeLatency * std::max(mean, kMinMeanMs);
  mean += kSampleWeight * (std::min(latencyMs, limit) - mean);
}

std::chrono::milliseconds LatencyBaseline::Mean(const LatencyKind& aKind,
                                                std::chrono::milliseconds aFallback) const
{
  const auto found = mMeans.find(aKind.mName);
  if (found == mMeans.end()) {
    return aFallback;
  }
  const auto& means = found->second;
  const auto bucket = BucketOf(aKind, kLengthBuckets);
  double scale = 1;
  for (std::size_t n = bucket + 1; n-- > 0;) {
    if (means[n] > 0) {
      return std::chrono::milliseconds(
        static_cast<std::int64_t>(means[n] * std::min(scale, kMaxScale)));
    }
    scale *= 2;
  }
  const auto longer = std::find_if(means.begin() + static_cast<std::ptrdiff_t>(bucket),
                                   means.end(),
                                   [](double aMean) { return aMean > 0; });
  return longer == means.end() ? aFallback
                               : std::chrono::milliseconds(static_cast<std::int64_t>(*longer));
}

} // namespace skylarkchute
