#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <string>

namespace skylarkchute {

/** Result of the sequential test that compares a rolling version with the one it replaces. */
enum class VersionCondition
{
  Undecided,
  Healthy,
  Bad,
};

/** Condition of a version, with the reason if it is bad. */
struct VersionVerdict
{
  VersionCondition mHealth = VersionCondition::Undecided;
  std::string mReason; /**< For example `errors` or `latency`; empty unless bad. */
  friend bool operator==(const VersionVerdict&, const VersionVerdict&) = default;
};

/** Test result of one instance for the new version of a roll. */
struct RollVerdict
{
  RollName mRoll;
  VersionVerdict mVerdict;
};

} // namespace skylarkchute
