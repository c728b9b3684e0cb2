#pragma once

#include "../tables/RouterTables.h"

#include <vector>

namespace skylarkchute {

/** Chooses the endpoint of an attempt: live, not leaving, not tripped, with room; own zone first;
    the endpoint of the prompt's prefix within a load bound, else the better of two drawn. */
class EndpointChoice
{
public:
  explicit EndpointChoice(RouterTables& aTables) : mTables(aTables) {}

  /** Returns whether any member of the pool can take an attempt. */
  bool HasRoom(const PoolRow& aPool, TimePoint aNow);

  /** Returns how many more attempts the pool can take, over all members with room. */
  double Room(const PoolRow& aPool, TimePoint aNow);

  /** Returns how many attempts the members of the pool may have at once. */
  double Window(const PoolRow& aPool);

  /** Returns the endpoint for the next attempt of the request, or null when none has room.
      Endpoints that the request has tried are used only when there is no other. */
  EndpointRow* Choose(const RequestRow& aRow, const PoolRow& aPool, TimePoint aNow);

  /** Returns an endpoint other than those tried, or null. For hedges. */
  EndpointRow* ChooseUntried(const RequestRow& aRow, const PoolRow& aPool, TimePoint aNow);

private:
  using Candidates = std::vector<EndpointRow*>;

  Candidates WithRoom(const PoolRow& aPool, TimePoint aNow);
  EndpointRow* ChooseOf(const RequestRow& aRow, const Candidates& aCandidates, TimePoint aNow);
  EndpointRow* ByAffinity(const std::string& aKey, const Candidates& aCandidates, TimePoint aNow);
  EndpointRow* ByTwoChoices(const Candidates& aCandidates, TimePoint aNow);
  double Score(const EndpointRow& aEndpoint, TimePoint aNow) const;

  RouterTables& mTables;
};

} // namespace skylarkchute
