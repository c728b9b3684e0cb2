#pragma once

#include "../tables/RouterTables.h"

#include <vector>

namespace skylarkchute {

/** Selects the endpoint of an attempt.

    Candidates are endpoints that are not leaving, whose circuit breaker allows an attempt, and that
    have free capacity. Those of the instance's own zone are preferred. Among them, rendezvous
    hashing gives requests with the same prompt prefix the same endpoint, unless its load exceeds a
    bound. Otherwise the one with the better score of two random endpoints is taken. */
class EndpointSelector
{
public:
  explicit EndpointSelector(RouterTables& aTables) : mTables(aTables) {}

  /** Returns whether any member of the pool can take an attempt. */
  bool HasCapacity(const PoolRow& aPool, TimePoint aNow);

  /** Returns how many more attempts the pool can take, over all members with capacity. */
  double FreeCapacity(const PoolRow& aPool, TimePoint aNow);

  /** Returns how many attempts of this instance the members of the pool may have at once. */
  double ConcurrencyWindow(const PoolRow& aPool);

  /** Returns the endpoint for the next attempt of the request, or null when none has capacity.
      Endpoints that the request has tried are used only when there is no other. */
  EndpointRow* Choose(const RequestRow& aRow, const PoolRow& aPool, TimePoint aNow);

  /** Returns an endpoint that the request has not tried, or null. Used for hedges. */
  EndpointRow* ChooseUntried(const RequestRow& aRow, const PoolRow& aPool, TimePoint aNow);

private:
  using Candidates = std::vector<EndpointRow*>;

  Candidates WithCapacity(const PoolRow& aPool, TimePoint aNow);
  EndpointRow* ChooseAmong(const RequestRow& aRow, const Candidates& aCandidates, TimePoint aNow);
  EndpointRow* ChooseByPrefix(const std::string& aKey,
                              const Candidates& aCandidates,
                              TimePoint aNow);
  EndpointRow* ChooseByTwoRandom(const Candidates& aCandidates, TimePoint aNow);
  double Score(const EndpointRow& aEndpoint, TimePoint aNow) const;

  RouterTables& mTables;
};

} // namespace skylarkchute
