#pragma once

#include <skylarkchute_routing/requests/AttemptOutcome.h>

#include <string>

namespace skylarkchute {

/** Outcome of an attempt and the response of the endpoint. */
struct AttemptResult
{
  AttemptId mAttempt;
  AttemptOutcome mOutcome;
  std::string mBody; /**< Complete body of a response that is not a stream; empty for a stream. */
  std::string mContentType;
  std::string mDetail;        /**< Reason of a failure for the log; contains no request content. */
  std::uint32_t mResumes = 0; /**< Number of tries to resume a broken stream. */
  std::uint64_t mDroppedChunks = 0; /**< Late, duplicated, or of another attempt. */
};

} // namespace skylarkchute
