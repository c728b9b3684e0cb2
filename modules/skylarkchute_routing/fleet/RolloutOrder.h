#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace skylarkchute {

enum class RolloutState
{
  Running,
  Completed,
  RolledBack,
};

/** An operator's order to move a service to another version, and its recorded state. */
struct RolloutOrder
{
  ServiceName mService;
  std::string mTarget;
  /** Time from the order until it must be completed or rolled back. */
  std::chrono::milliseconds mPeriod{ 0 };
  std::uint64_t mRevision = 0; /**< Revision in the store, for conditional updates. */
  RolloutState mState = RolloutState::Running;
};

} // namespace skylarkchute
