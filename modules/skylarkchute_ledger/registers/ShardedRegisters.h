#pragma once

#include "ShardChain.h"
#include "WallClockEstimate.h"

namespace skylarkchute {

/** Write-once registers in shard chains with group commit. @see ShardChain */
class ShardedRegisters
{
public:
  explicit ShardedRegisters(RegisterOptions aOptions);

  /** Starts a write. The outcome, in this or a later output, has @p aOperationId. */
  RegisterOutput Write(std::uint64_t aOperationId, const RegisterWrite& aWrite, TimePoint aNow);

  /** Starts a read. The outcome, in this or a later output, has @p aOperationId. */
  RegisterOutput Read(std::uint64_t aOperationId, const std::string& aKey, TimePoint aNow);

  /** Handles the reply to one of the calls. */
  RegisterOutput OnReply(const ObjectReply& aReply, TimePoint aNow);

  /** Runs due retries, ends operations that have timed out, removes expired segments and drops idle
      shard chains from memory. */
  RegisterOutput Tick(TimePoint aNow, WallTime aWallNow);

  /** Returns the number of registers indexed in memory. */
  std::size_t RegisterCount() const;

private:
  using ChainMap = std::map<std::uint32_t, ShardChain>;

  ChainMap::iterator ChainOf(const std::string& aKey);
  RegisterOutput Convert(std::uint32_t aShard, ShardOutput aOutput);

  RegisterOptions mOptions;
  WallClockEstimate mWall;
  std::uint64_t mNextCall = 1;
  ChainMap mChains;
  std::map<std::uint64_t, std::uint32_t> mCalls; /**< Shard of each call under way. */
};

/** Returns the shard of a register, from a hash of its key without the `KIND/` prefix: the claim
    and the outcome of one request are in the same shard. */
std::uint32_t ShardOf(const std::string& aKey, std::uint32_t aShards);

} // namespace skylarkchute
