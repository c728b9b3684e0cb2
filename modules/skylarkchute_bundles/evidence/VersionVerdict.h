#pragma once

#include <string>

namespace skylarkchute {

/** What a sequential test says of a rolling version against the one that it replaces. */
enum class VersionCondition
{
  Undecided,
  Healthy,
  Bad,
};

/** The health of a version, with the reason when it is bad. */
struct VersionVerdict
{
  VersionCondition mHealth = VersionCondition::Undecided;
  std::string mReason; /**< Such as `errors` or `latency`; empty unless bad. */
  friend bool operator==(const VersionVerdict&, const VersionVerdict&) = default;
};

} // namespace skylarkchute
