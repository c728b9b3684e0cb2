#pragma once

#include "../requests/AttemptOutcome.h"
#include "../tables/RouterTables.h"
#include "EvidenceSystem.h"
#include "QuarantineSystem.h"

namespace skylarkchute {

enum class AttemptKind
{
  First,
  Retry,
  Hedge,
  Escalation,
};

/** Opens and closes attempts and updates the state of their endpoints from the outcomes. */
class AttemptSystem
{
public:
  AttemptSystem(RouterTables& aTables, EvidenceSystem& aEvidence, QuarantineSystem& aQuarantine)
    : mTables(aTables)
    , mEvidence(aEvidence)
    , mQuarantine(aQuarantine)
  {
  }

  /** Opens an attempt, which occupies a slot of the endpoint until Close or Release. */
  DispatchStep Open(RequestRow& aRow, EndpointRow& aEndpoint, AttemptKind aKind, TimePoint aNow);

  /** Closes an attempt with its outcome and merges the outcome's verdict into the worst verdict of
      the request. */
  void Close(RequestRow& aRow,
             const AttemptId& aAttempt,
             const AttemptOutcome& aOutcome,
             TimePoint aNow);

  /** Closes an attempt that was not carried out or was cancelled. It does not count as a success or
      a failure of the endpoint. */
  void Release(RequestRow& aRow, const AttemptId& aAttempt, TimePoint aNow);

private:
  void RecordComplete(const RequestRow& aRow,
                      EndpointRow& aEndpoint,
                      const AttemptOutcome& aOutcome,
                      TimePoint aNow);
  bool RecordFailure(EndpointRow& aEndpoint, const AttemptOutcome& aOutcome, TimePoint aNow);
  void RecordAtEndpoint(const RequestRow& aRow,
                        EndpointRow& aEndpoint,
                        const AttemptOutcome& aOutcome,
                        TimePoint aNow);

  RouterTables& mTables;
  EvidenceSystem& mEvidence;
  QuarantineSystem& mQuarantine;
};

} // namespace skylarkchute
