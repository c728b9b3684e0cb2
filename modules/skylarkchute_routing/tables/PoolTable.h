#pragma once

#include "LatencyWindow.h"
#include "PoolKey.h"
#include "QueueRow.h"

#include <map>
#include <string>
#include <vector>

namespace skylarkchute {

/** A set of interchangeable endpoints, with its queue and its measured rates and latencies. */
struct PoolRow
{
  std::uint64_t mMembersGeneration = 0; /**< EndpointTable::Generation() of mHosting. */
  std::vector<EndpointId> mHosting;     /**< Endpoints that host it and accept new requests. */
  std::vector<EndpointId> mMembers;     /**< The subset of mHosting that this instance uses. */
  QueueRow mQueue;
  RateMeter mDrainRate; /**< Attempts that ended while requests were queued. */
  std::map<std::uint32_t, RateMeter> mArrivals; /**< Requests, by priority. */
  std::map<ClassName, LatencyWindow> mLatency;  /**< Complete answers, by class. */
};

/** The pools, by key. Pools of removed versions and services are removed too. */
class PoolTable
{
public:
  using Rows = std::map<PoolKey, PoolRow>;

  /** Returns the row of a pool; creates it if it does not exist. */
  PoolRow& Get(const PoolKey& aKey) { return mRows[aKey]; }

  /** Returns all rows, ordered by key. */
  Rows& All() { return mRows; }
  const Rows& All() const { return mRows; }

private:
  Rows mRows;
};

} // namespace skylarkchute
