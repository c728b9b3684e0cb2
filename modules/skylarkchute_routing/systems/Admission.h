#pragma once

#include "../tables/RouterTables.h"

#include <optional>

namespace skylarkchute {

/** Turns the facts of a request into a row: team, class, priority and deadline. */
class Admission
{
public:
  explicit Admission(RouterTables& aTables) : mTables(aTables) {}

  /** Fills @p aRow.
      @returns a refusal when the key, class or service is not valid for the request */
  std::optional<RefuseStep> Admit(const RequestFacts& aFacts,
                                  TimePoint aNow,
                                  RequestRow& aRow) const;

  /** Returns whether the request may run at most once, by its own word, class or service. */
  bool IsNonIdempotent(const RequestFacts& aFacts) const;

private:
  RouterTables& mTables;
};

} // namespace skylarkchute
