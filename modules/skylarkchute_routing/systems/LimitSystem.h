#pragma once

#include "../requests/AttemptOutcome.h"
#include "../tables/RouterTables.h"

#include <optional>
#include <vector>

namespace skylarkchute {

/** Holds this instance to its shares of the teams' fleet-wide limits.

    A limit of zero in the bundle means that there is none. */
class LimitSystem
{
public:
  explicit LimitSystem(RouterTables& aTables) : mTables(aTables) {}

  /** Sets the buckets from the bundle in force and the shares known. */
  void ApplyBundle(TimePoint aNow);

  /** Takes in shares; teams that are not named keep theirs. */
  void ApplyShares(const std::vector<LimitShare>& aShares, TimePoint aNow);

  /** Counts the demand of a request and takes what it needs from the buckets.
      @returns a refusal, with nothing taken, when the team is over a limit */
  std::optional<RefuseStep> Take(RequestRow& aRow, TimePoint aNow);

  /** Gives back what a request took that did not run. */
  void Refund(RequestRow& aRow);

  /** Corrects the estimate of tokens by what an attempt used. */
  void Settle(RequestRow& aRow, const AttemptOutcome& aOutcome);

  /** Ends the request's part in the team's concurrency. */
  void Leave(const RequestRow& aRow);

  /** Closes demand windows that are full. */
  void Tick(TimePoint aNow);

  /** Returns the demand of each team over the last window. */
  std::vector<TeamDemand> Demand(TimePoint aNow) const;

private:
  void SetRates(const Team& aTeam, TeamRow& aRow, TimePoint aNow) const;
  double ConcurrencyShare(const Team& aTeam, const TeamRow& aRow) const;

  RouterTables& mTables;
};

} // namespace skylarkchute
