#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <string>

namespace skylarkchute {

/** An error response to a caller, sent as an RFC 9457 problem document. */
struct ProblemReply
{
  int mHttpStatus = 503;
  Verdict mVerdict = Verdict::NotRun;
  std::string mReason; /**< Kebab case, such as `body-too-large`. */
  std::string mDetail; /**< Explanation for the caller's engineers, one sentence. */
  std::chrono::milliseconds mRetryAfter{ 0 }; /**< Zero for no `Retry-After` header. */

  /** Returns the `application/problem+json` document.
      @param aRequest  empty when the request was refused before an id was assigned */
  std::string Json(const RequestId& aRequest) const;

  /** Returns the value of the `Retry-After` header in whole seconds, at least 1. */
  std::string RetryAfterSeconds() const;
};

} // namespace skylarkchute
