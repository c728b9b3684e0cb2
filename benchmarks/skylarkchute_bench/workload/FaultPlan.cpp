#include "FaultPlan.h"

#include <array>
#include <string_view>

namespace skylarkchute {

namespace {

/** In the order of FaultKind. */
constexpr std::array<std::string_view, 19> kNames{
  "none",          "rater-down",        "rater-slow",   "rater-high",       "rater-low",
  "cheap-worsens", "bad-errors",        "bad-timeouts", "bad-quality",      "bad-latency",
  "bad-team",      "bad-zone",          "all-fail",     "slow-endpoint",    "flapping-endpoint",
  "zone-lost",     "leaving-endpoints", "flood",        "crashing-request",
};

} // namespace

std::optional<FaultKind> FindFault(const std::string& aName)
{
  for (std::size_t n = 0; n < kNames.size(); ++n) {
    if (kNames[n] == aName) {
      return static_cast<FaultKind>(n);
    }
  }
  return std::nullopt;
}

std::string FaultName(FaultKind aKind)
{
  return std::string(kNames[static_cast<std::size_t>(aKind)]);
}

std::vector<std::string> FaultNames()
{
  return { kNames.begin(), kNames.end() };
}

} // namespace skylarkchute
