#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <cstdint>
#include <string>

namespace skylarkchute {

/** Identity and bounds of one node. */
struct NodeOptions
{
  InstanceId mInstance;
  ZoneName mZone;
  IncarnationId mIncarnation;
  std::uint64_t mSeed = 0;
  std::string mSecretSeed; /**< Unpredictable; keys made by this node derive from it. */
  std::uint32_t mShards = 16;
  std::chrono::milliseconds mUsageMaxAge{ 5000 };
  std::chrono::milliseconds mFreshness{ 10'000 };
  /** How long a request waits for its generation to be confirmed. */
  std::chrono::milliseconds mConfirmationWait{ 2000 };
  std::chrono::seconds mSessionLifetime{ 86'400 };
};

} // namespace skylarkchute
