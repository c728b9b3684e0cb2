#pragma once

#include "../tables/RouterTables.h"

#include <optional>

namespace skylarkchute {

/** Authenticates a request, checks its class and service, and sets its team, priority and
    deadline. */
class Admission
{
public:
  explicit Admission(RouterTables& aTables) : mTables(aTables) {}

  /** Fills @p aRow from the facts of a request. The API key is not copied.
      @returns a refusal when the key, class or service is not valid for the request or its
      deadline has passed; nothing when the request is admitted */
  std::optional<RefuseStep> Admit(const RequestFacts& aFacts,
                                  TimePoint aNow,
                                  RequestRow& aRow) const;

  /** Returns whether the request may run at most once, as declared by the request itself, its
      class or its service. */
  bool IsNonIdempotent(const RequestFacts& aFacts) const;

private:
  RouterTables& mTables;
};

} // namespace skylarkchute
