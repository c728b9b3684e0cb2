#pragma once

#include "LatencyWindow.h"
#include "PoolKey.h"
#include "QueueRow.h"

#include <map>
#include <string>
#include <vector>

namespace skylarkchute {

/** A set of endpoints that can do the same work, with its queue and its measured speed. */
struct PoolRow
{
  std::uint64_t mMembersGeneration = 0; /**< Of the endpoint table, when the members were found. */
  std::vector<EndpointId> mHosting;     /**< Every endpoint that hosts and takes new work. */
  std::vector<EndpointId> mMembers;     /**< Of these, the subset of this instance. */
  QueueRow mQueue;
  RateMeter mDrain;                             /**< Attempts that ended, while others waited. */
  std::map<std::uint32_t, RateMeter> mArrivals; /**< By priority. */
  std::map<ClassName, LatencyWindow> mLatency;  /**< Of complete answers, by class. */
};

/** The pools, by key. Pools of versions and services that are gone are dropped. */
class PoolTable
{
public:
  using Rows = std::map<PoolKey, PoolRow>;

  /** Returns the row of a pool, made when it is new. */
  PoolRow& Get(const PoolKey& aKey) { return mRows[aKey]; }

  /** Returns every row, ordered by key. */
  Rows& All() { return mRows; }
  const Rows& All() const { return mRows; }

private:
  Rows mRows;
};

} // namespace skylarkchute
