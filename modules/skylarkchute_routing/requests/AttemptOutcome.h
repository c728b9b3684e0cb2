#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

namespace skylarkchute {

/** How an attempt at an endpoint ended. */
enum class AttemptEnd
{
  Complete, /**< A whole answer with the right attempt id. */
  Refused,  /**< The endpoint said that it did not run it (429, 503 with not-run, queue full). */
  ConnectFailed,
  Failed,   /**< The endpoint answered with a server error. */
  Rejected, /**< The endpoint answered with a client error; a retry would not help. */
  TimedOut,
  Broken, /**< The connection ended in the middle; a sign of a crash. */
  Cancelled,
};

/** The outcome of one attempt, as the endpoint client saw it. */
struct AttemptOutcome
{
  AttemptEnd mEnd = AttemptEnd::Broken;
  Verdict mVerdict = Verdict::MayHaveRun;
  int mHttpStatus = 0;
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mCompletionTokens = 0;
  std::chrono::microseconds mFirstToken{ 0 };
  std::chrono::microseconds mLatency{ 0 };
  /** Whether bytes of the answer have already reached the caller. */
  bool mCallerSawBytes = false;
};

} // namespace skylarkchute
