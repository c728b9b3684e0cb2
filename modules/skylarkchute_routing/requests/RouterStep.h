#pragma once

#include "RequestFacts.h"

#include <variant>
#include <vector>

namespace skylarkchute {

/** End the request without an answer from an endpoint. */
struct RefuseStep
{
  RequestId mRequest;
  Verdict mVerdict = Verdict::NotRun;
  int mHttpStatus = 503;
  std::string mReason; /**< In kebab case, for the problem document and metrics. */
  std::string mDetail;
  std::chrono::milliseconds mRetryAfter{ 0 };
};

/** The request is queued; a later Tick or attempt outcome returns its next step. */
struct WaitStep
{
  RequestId mRequest;
};

/** Send the request to an endpoint. */
struct DispatchStep
{
  RequestId mRequest;
  AttemptId mAttempt;
  EndpointId mEndpoint;
  std::string mAddress; /**< IP address. */
  std::uint16_t mPort = 0;
  std::optional<VersionId> mVersion; /**< Empty for plain services. */
  std::string mLabel;                /**< Model label that the endpoint expects. */
  std::chrono::milliseconds mTimeout{ 0 };
  bool mHedge = false; /**< A second attempt in parallel with a running one. */
  /** Whether a cascade uses this attempt to replace an answer that was not sent to the caller. */
  bool mEscalation = false;
};

/** Cancel an attempt whose answer is no longer needed. */
struct CancelStep
{
  RequestId mRequest;
  AttemptId mAttempt;
};

/** End the request with the answer of this attempt. */
struct FinishStep
{
  RequestId mRequest;
  AttemptId mAttempt;
  Verdict mVerdict = Verdict::Ran;
};

using RouterStep = std::variant<RefuseStep, WaitStep, DispatchStep, CancelStep, FinishStep>;
using RouterSteps = std::vector<RouterStep>;

} // namespace skylarkchute
