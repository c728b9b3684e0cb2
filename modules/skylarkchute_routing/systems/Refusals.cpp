#include "Refusals.h"

namespace skylarkchute {

RefuseStep FailureRefusal(const RequestId& aRequest, AttemptEnd aEnd, Verdict aWorst)
{
  RefuseStep step;
  step.mRequest = aRequest;
  step.mVerdict = aWorst;
  step.mHttpStatus = aWorst == Verdict::NotRun ? 503 : 502;
  switch (aEnd) {
    case AttemptEnd::Refused:
      step.mReason = refusal::kEndpointRefused;
      step.mDetail = "The endpoint has no room.";
      break;
    case AttemptEnd::ConnectFailed:
      step.mReason = refusal::kEndpointUnreachable;
      step.mDetail = "The endpoint could not be reached.";
      break;
    case AttemptEnd::TimedOut:
      step.mReason = refusal::kTimeout;
      step.mDetail = "The deadline passed before the answer was complete.";
      step.mHttpStatus = 504;
      break;
    case AttemptEnd::Broken:
      step.mReason = refusal::kAnswerBroken;
      step.mDetail = "The connection to the endpoint closed before the answer was complete.";
      break;
    case AttemptEnd::Cancelled:
      step.mReason = refusal::kCancelled;
      step.mDetail = "The attempt was cancelled.";
      break;
    case AttemptEnd::Complete:
    case AttemptEnd::Rejected:
    case AttemptEnd::Failed:
      step.mReason = refusal::kEndpointError;
      step.mDetail = "The endpoint answered with an error.";
      break;
  }
  return step;
}

} // namespace skylarkchute
