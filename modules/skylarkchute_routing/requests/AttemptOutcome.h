#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

namespace skylarkchute {

/** How an attempt ended. */
enum class AttemptEnd
{
  Complete, /**< A complete answer with the matching attempt id. */
  Refused,  /**< The endpoint did not run the request (429, 503 with not-run, queue full). */
  ConnectFailed,
  Failed,   /**< The endpoint answered with a server error. */
  Rejected, /**< The endpoint answered with a client error; a retry would not help. */
  TimedOut,
  Broken, /**< The connection closed before the answer was complete, which suggests a crash. */
  Cancelled,
};

/** The outcome of an attempt, as observed by the endpoint client. */
struct AttemptOutcome
{
  AttemptEnd mEnd = AttemptEnd::Broken;
  Verdict mVerdict = Verdict::MayHaveRun;
  int mHttpStatus = 0;
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mCompletionTokens = 0;
  std::chrono::microseconds mFirstToken{ 0 }; /**< Time to the first token. */
  std::chrono::microseconds mLatency{ 0 };
  /** Whether part of the answer has already been sent to the caller. */
  bool mCallerSawBytes = false;
};

} // namespace skylarkchute
