#pragma once

#include "../requests/AttemptOutcome.h"
#include "../tables/RouterTables.h"

#include <optional>

namespace skylarkchute {

/** Decides whether a request whose attempt failed is tried again, and when. */
class RetrySystem
{
public:
  explicit RetrySystem(RouterTables& aTables) : mTables(aTables) {}

  /** Counts the first attempt of a request, which earns budget. */
  void OnFirstAttempt(const RequestRow& aRow);

  /** Returns when to try again; nothing when the request ends. Takes budget. */
  std::optional<TimePoint> RetryAt(const RequestRow& aRow,
                                   const AttemptOutcome& aOutcome,
                                   std::chrono::microseconds aExpectedService,
                                   TimePoint aNow);

  /** Takes budget for a hedge. @returns false when there is none */
  bool TakeForHedge(const RequestRow& aRow);

private:
  bool MayRetry(const RequestRow& aRow, const AttemptOutcome& aOutcome) const;
  std::chrono::microseconds Backoff(std::uint32_t aRetries);

  RouterTables& mTables;
};

} // namespace skylarkchute
