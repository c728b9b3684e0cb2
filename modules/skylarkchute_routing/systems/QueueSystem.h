#pragma once

#include "../tables/RouterTables.h"
#include "EndpointChoice.h"
#include "PoolSystem.h"

#include <functional>
#include <optional>

namespace skylarkchute {

/** Holds requests until an endpoint has room, and refuses those that would wait for too long. */
class QueueSystem
{
public:
  /** Dispatches a request to an endpoint that has room. */
  using Dispatch = std::function<void(RequestRow& aRow, EndpointRow& aEndpoint)>;

  QueueSystem(RouterTables& aTables, PoolSystem& aPools, EndpointChoice& aEndpoints)
    : mTables(aTables)
    , mPools(aPools)
    , mEndpoints(aEndpoints)
  {
  }

  /** Puts a request into the queue of its pool. */
  void Enter(RequestRow& aRow, TimePoint aNow);

  /** Takes a request out of its queue; does nothing when it does not wait. */
  void Leave(const RequestRow& aRow);

  /** Dispatches while pools have room. Pools share endpoints, so the next request is the most
      urgent one over all pools that have room. */
  void Drain(TimePoint aNow, const Dispatch& aDispatch);

  /** Returns a refusal when a waiting request is expected to miss its deadline. */
  std::optional<RefuseStep> CheckWait(const RequestRow& aRow, TimePoint aNow);

  /** Returns refusals of the waiting requests that are expected to miss their deadlines, and of
      the least urgent ones beyond the size of the queue. */
  std::vector<RefuseStep> Shed(TimePoint aNow);

  /** Returns an honest time after which a new request would find room. */
  std::chrono::milliseconds RetryAfter(const PoolKey& aPool, TimePoint aNow);

  /** Returns the time that an attempt of the request is expected to take. */
  std::chrono::microseconds ExpectedService(const RequestRow& aRow, TimePoint aNow);

private:
  /** The request that a pool would serve next. */
  struct Head
  {
    PoolRow* mPool;
    RequestRow* mRow;
  };

  std::vector<Head> Heads(TimePoint aNow);
  /** Returns whether the room left would do for requests of higher priority. */
  bool LeavesReserve(PoolRow& aPool, std::uint32_t aPriority, TimePoint aNow);
  bool Serve(const Head& aHead, TimePoint aNow, const Dispatch& aDispatch);
  double EffectiveRate(PoolRow& aPool, std::uint32_t aPriority, TimePoint aNow) const;
  void ShedPool(const PoolKey& aKey, PoolRow& aPool, TimePoint aNow, std::vector<RefuseStep>& aOut);
  RefuseStep Refusal(const RequestRow& aRow, TimePoint aNow);
  std::size_t Waiting() const;

  RouterTables& mTables;
  PoolSystem& mPools;
  EndpointChoice& mEndpoints;
};

} // namespace skylarkchute
