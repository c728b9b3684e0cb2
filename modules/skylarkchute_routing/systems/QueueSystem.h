#pragma once

#include "../tables/RouterTables.h"
#include "EndpointSelector.h"
#include "PoolSystem.h"

#include <functional>
#include <optional>

namespace skylarkchute {

/** Queues requests until an endpoint has capacity, and refuses those that are expected to miss
    their deadlines. */
class QueueSystem
{
public:
  /** Dispatches a request to an endpoint that has capacity. */
  using Dispatch = std::function<void(RequestRow& aRow, EndpointRow& aEndpoint)>;

  QueueSystem(RouterTables& aTables, PoolSystem& aPools, EndpointSelector& aEndpoints)
    : mTables(aTables)
    , mPools(aPools)
    , mEndpoints(aEndpoints)
  {
  }

  /** Adds a request to the queue of its pool. */
  void Enqueue(RequestRow& aRow, TimePoint aNow);

  /** Removes a request from its queue; does nothing when it is not queued. */
  void Remove(const RequestRow& aRow);

  /** Dispatches queued requests while pools have capacity. Since pools share endpoints, each step
      takes the most urgent request over all pools with capacity. */
  void Drain(TimePoint aNow, const Dispatch& aDispatch);

  /** Returns a refusal when a queued request is expected to miss its deadline. */
  std::optional<RefuseStep> CheckWait(const RequestRow& aRow, TimePoint aNow);

  /** Returns refusals of the queued requests that are expected to miss their deadlines, and of the
      least urgent ones beyond RouterOptions::mMaxQueued in a pool. */
  std::vector<RefuseStep> Shed(TimePoint aNow);

  /** Returns the time after which a new request is expected to find capacity: the estimated time to
      drain the queue of the pool, 100 ms to 60 s, or 1 s while the drain rate is not known. */
  std::chrono::milliseconds RetryAfter(const PoolKey& aPool, TimePoint aNow);

  /** Returns the mean latency of the request's class in its pool; zero when none is known. */
  std::chrono::microseconds ExpectedService(const RequestRow& aRow, TimePoint aNow);

private:
  /** The next request of a pool. */
  struct Head
  {
    PoolRow* mPool;
    RequestRow* mRow;
  };

  std::vector<Head> Heads(TimePoint aNow);
  /** Returns whether the pool still has capacity in reserve for requests of higher priority after
      another dispatch. */
  bool KeepsReserve(PoolRow& aPool, std::uint32_t aPriority, TimePoint aNow);
  bool DispatchHead(const Head& aHead, TimePoint aNow, const Dispatch& aDispatch);
  double EffectiveRate(PoolRow& aPool, std::uint32_t aPriority, TimePoint aNow) const;
  void ShedPool(const PoolKey& aKey, PoolRow& aPool, TimePoint aNow, std::vector<RefuseStep>& aOut);
  RefuseStep Refusal(const RequestRow& aRow, TimePoint aNow);
  std::size_t Waiting() const;

  RouterTables& mTables;
  PoolSystem& mPools;
  EndpointSelector& mEndpoints;
};

} // namespace skylarkchute
