#pragma once

#include <skylarkchute_routing/requests/AttemptOutcome.h>

#include <string>

namespace skylarkchute {

/** How an attempt ended and what the endpoint answered. */
struct AttemptResult
{
  AttemptId mAttempt;
  AttemptOutcome mOutcome;
  std::string mBody; /**< Whole body of an answer that is not a stream; empty for a stream. */
  std::string mContentType;
  std::string mDetail;              /**< One sentence on a failure; holds no request content. */
  std::uint32_t mResumes = 0;       /**< How often a broken stream was resumed. */
  std::uint64_t mDroppedChunks = 0; /**< Late, foreign and duplicated chunks. */
};

} // namespace skylarkchute
