#pragma once

#include "../requests/AttemptOutcome.h"
#include "../tables/RouterTables.h"

#include <optional>

namespace skylarkchute {

/** Decides whether and when a failed request is retried, within the retry budget of its class. */
class RetrySystem
{
public:
  explicit RetrySystem(RouterTables& aTables) : mTables(aTables) {}

  /** Counts the first attempt of a request, which adds to the retry budget. */
  void OnFirstAttempt(const RequestRow& aRow);

  /** Returns when to retry, and takes budget for it; nothing when the request must not be retried,
      would miss its deadline, or the budget is used up. */
  std::optional<TimePoint> RetryAt(const RequestRow& aRow,
                                   const AttemptOutcome& aOutcome,
                                   std::chrono::microseconds aExpectedService,
                                   TimePoint aNow);

  /** Takes budget for a hedge.
      @returns false when the budget is used up */
  bool TakeHedgeBudget(const RequestRow& aRow);

private:
  bool MayRetry(const RequestRow& aRow, const AttemptOutcome& aOutcome) const;
  std::chrono::microseconds Backoff(std::uint32_t aRetries);

  RouterTables& mTables;
};

} // namespace skylarkchute
