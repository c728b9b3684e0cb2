#pragma once

#include "../requests/AttemptOutcome.h"
#include "../tables/RouterTables.h"

#include <optional>
#include <vector>

namespace skylarkchute {

/** Enforces this instance's shares of the fleet-wide rate and concurrency limits of the teams.

    A limit of zero in the bundle means unlimited. */
class LimitSystem
{
public:
  explicit LimitSystem(RouterTables& aTables) : mTables(aTables) {}

  /** Sets the rates of the token buckets from the bundle in force and the current shares. */
  void ApplyBundle(TimePoint aNow);

  /** Applies new shares; teams that are not listed keep theirs. */
  void ApplyShares(const std::vector<LimitShare>& aShares, TimePoint aNow);

  /** Counts the demand of a request, takes one request and its estimated tokens from the buckets,
      and counts it as in flight.
      @returns a refusal, with nothing taken, when the team is over a limit */
  std::optional<RefuseStep> TryAcquire(RequestRow& aRow, TimePoint aNow);

  /** Returns to the buckets what was taken for a request that did not run. */
  void Refund(RequestRow& aRow);

  /** Replaces the estimated tokens of a request by those that a complete attempt used. */
  void Settle(RequestRow& aRow, const AttemptOutcome& aOutcome);

  /** Removes the request from the in-flight count of its team. */
  void ReleaseConcurrency(const RequestRow& aRow);

  /** Starts new demand windows for teams whose current one has elapsed. */
  void Tick(TimePoint aNow);

  /** Returns the demand of each team over its last window, in requests and tokens per second. */
  std::vector<TeamDemand> Demand(TimePoint aNow) const;

private:
  /** Adapts the burst of tokens to the size of a complete answer. Only tokens used count, so that a
      caller cannot enlarge the burst by the limit that it sets for an answer. */
  static void RecordAnswerSize(TeamRow& aRow, double aTokens);
  void SetRates(const Team& aTeam, TeamRow& aRow, TimePoint aNow) const;
  double ConcurrencyShare(const Team& aTeam, const TeamRow& aRow) const;

  RouterTables& mTables;
};

} // namespace skylarkchute
