#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <cstdint>
#include <string>

namespace skylarkchute {

/** Identity and limits of one node. */
struct NodeOptions
{
  InstanceId mInstance;
  ZoneName mZone;
  IncarnationId mIncarnation;
  std::uint64_t mSeed = 0; /**< Of the pseudorandom choices of the components. */
  /** Must be unpredictable: the signing keys that this node creates derive from it. */
  std::string mSigningKeySeed;
  std::uint32_t mShards = 16; /**< Number of shards of the claim and pin registers. */
  /** The age at which a batch of usage records is written. */
  std::chrono::milliseconds mUsageMaxAge{ 5000 };
  /** A generation that was not confirmed for longer than this needs a new confirmation before
      requests are routed by it. */
  std::chrono::milliseconds mConfirmationMaxAge{ 10'000 };
  /** How long a request waits for the bundle's generation to be confirmed before it is refused. */
  std::chrono::milliseconds mConfirmationWait{ 2000 };
  /** How long a session token is valid from its issue. */
  std::chrono::seconds mSessionLifetime{ 86'400 };
};

} // namespace skylarkchute
