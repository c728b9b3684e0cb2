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

/** Opens and closes attempts, and keeps what they say of their endpoints. */
class AttemptSystem
{
public:
  AttemptSystem(RouterTables& aTables, EvidenceSystem& aEvidence, QuarantineSystem& aQuarantine)
    : mTables(aTables)
    , mEvidence(aEvidence)
    , mQuarantine(aQuarantine)
  {
  }

  /** Opens an attempt, which holds a slot of the endpoint. */
  DispatchStep Open(RequestRow& aRow, EndpointRow& aEndpoint, AttemptKind aKind, TimePoint aNow);

  /** Closes an attempt with its outcome; the request's verdict takes it in. */
  void Close(RequestRow& aRow,
             const AttemptId& aAttempt,
             const AttemptOutcome& aOutcome,
             TimePoint aNow);

  /** Closes an attempt that says nothing of its endpoint: not carried out, or cancelled. */
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
