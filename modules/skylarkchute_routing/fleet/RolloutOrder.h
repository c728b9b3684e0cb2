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

/** An operator's order to move a service to another version, with the state recorded for it. */
struct RolloutOrder
{
  ServiceName mService;
  std::string mTarget;
  std::chrono::milliseconds mPeriod{ 0 }; /**< From the order until it has to be decided. */
  std::uint64_t mRevision = 0;            /**< Of the store's object, for conditional updates. */
  RolloutState mState = RolloutState::Running;
};

} // namespace skylarkchute
