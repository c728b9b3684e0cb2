#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <string>

namespace skylarkchute {

/** An error answer to a caller, as an RFC 9457 problem document. */
struct ProblemReply
{
  int mHttpStatus = 503;
  Verdict mVerdict = Verdict::NotRun;
  std::string mReason;                        /**< Kebab case, such as `body-too-large`. */
  std::string mDetail;                        /**< One sentence for the caller's engineers. */
  std::chrono::milliseconds mRetryAfter{ 0 }; /**< Zero when there is nothing to wait for. */

  /** Returns the `application/problem+json` document.
      @param aRequest  empty when the request was refused before it had an id */
  std::string Json(const RequestId& aRequest) const;

  /** Returns the value of the `Retry-After` header in whole seconds, at least 1. */
  std::string RetryAfterSeconds() const;
};

} // namespace skylarkchute
