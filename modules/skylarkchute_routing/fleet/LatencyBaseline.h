#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <array>
#include <chrono>
#include <string>
#include <unordered_map>

namespace skylarkchute {

/** Class of requests with comparable latencies: same service and model, similar prompt length. */
struct LatencyKind
{
  std::string mName;               /**< Service and model, or route. */
  std::uint64_t mPromptTokens = 0; /**< Zero when the request has no prompt. */
};

/** Moving mean of the time to the first byte for each kind of request. Prompt lengths are grouped
    by powers of two. */
class LatencyBaseline
{
public:
  /** Returns a latency divided by the mean of its kind, or 1 while that mean is unknown. */
  double RelativeLatency(const LatencyKind& aKind, std::chrono::microseconds aLatency) const;

  /** Adds a latency to the mean of its kind. */
  void Record(const LatencyKind& aKind, std::chrono::microseconds aLatency);

  /** Returns the mean of a kind. If it is unknown for this prompt length, extrapolates from shorter
      prompts, else uses the mean of the next longer ones.
      @param aFallback  returned while no mean of this name is known */
  std::chrono::milliseconds Mean(const LatencyKind& aKind,
                                 std::chrono::milliseconds aFallback) const;

private:
  static constexpr std::size_t kLengthBuckets = 24;

  /** Means in milliseconds, indexed by the bit width of the prompt's length; zero while unknown. */
  using Means = std::array<double, kLengthBuckets>;

  std::unordered_map<std::string, Means> mMeans;
};

} // namespace skylarkchute
