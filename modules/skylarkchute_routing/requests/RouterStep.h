#pragma once

#include "RequestFacts.h"

#include <variant>
#include <vector>

namespace skylarkchute {

/** The request ends without an answer from an endpoint. */
struct RefuseStep
{
  RequestId mRequest;
  Verdict mVerdict = Verdict::NotRun;
  int mHttpStatus = 503;
  std::string mReason; /**< Kebab case, for the problem document and metrics. */
  std::string mDetail;
  std::chrono::milliseconds mRetryAfter{ 0 };
};

/** The request waits in a queue; a later Tick or outcome returns its next step. */
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
  std::string mAddress; /**< IP number. */
  std::uint16_t mPort = 0;
  std::optional<VersionId> mVersion; /**< Empty for plain services. */
  std::string mLabel;                /**< Model label that the endpoint expects. */
  std::chrono::milliseconds mTimeout{ 0 };
  bool mHedge = false; /**< A second attempt beside one that still runs. */
  /** Set on a cascade step that replaces an answer not yet shown to the caller. */
  bool mEscalation = false;
};

/** Cancel an attempt whose answer is no longer wanted. */
struct CancelStep
{
  RequestId mRequest;
  AttemptId mAttempt;
};

/** The answer of this attempt is the answer of the request. */
struct FinishStep
{
  RequestId mRequest;
  AttemptId mAttempt;
  Verdict mVerdict = Verdict::Ran;
};

using RouterStep = std::variant<RefuseStep, WaitStep, DispatchStep, CancelStep, FinishStep>;
using RouterSteps = std::vector<RouterStep>;

} // namespace skylarkchute
