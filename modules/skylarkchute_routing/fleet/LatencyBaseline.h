#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <array>
#include <chrono>
#include <string>
#include <unordered_map>

namespace skylarkchute {

/** Requests whose latencies are compared: the same service and model, prompts of alike length. */
struct LatencyKind
{
  std::string mName;               /**< Service and model, or route. */
  std::uint64_t mPromptTokens = 0; /**< Zero when the request has no prompt. */
};

/** Mean time to the first byte of answers of alike requests, prompts by powers of two. */
class LatencyBaseline
{
public:
  /** Returns a latency against the mean of its kind, 1 while nothing is known. */
  double Relative(const LatencyKind& aKind, std::chrono::microseconds aLatency) const;

  /** Takes a latency into the mean of its kind. */
  void Record(const LatencyKind& aKind, std::chrono::microseconds aLatency);

  /** Returns the mean of a kind, scaled from shorter prompts where prompts of this length are not
      known, or the fallback while nothing is known. */
  std::chrono::milliseconds Mean(const LatencyKind& aKind,
                                 std::chrono::milliseconds aFallback) const;

private:
  static constexpr std::size_t kLengths = 24;

  /** Means in milliseconds by the bits of the prompt's length; zero while unknown. */
  using Means = std::array<double, kLengths>;

  std::unordered_map<std::string, Means> mMeans;
};

} // namespace skylarkchute
