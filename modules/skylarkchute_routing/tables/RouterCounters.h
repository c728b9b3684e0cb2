#pragma once

#include <cstdint>

namespace skylarkchute {

/** Counters of a router since its start. */
struct RouterCounters
{
  std::uint64_t mStarted = 0;          /**< Requests passed to Router::Start. */
  std::uint64_t mAdmitted = 0;         /**< Requests that passed admission. */
  std::uint64_t mFinished = 0;         /**< Requests that ended with an answer. */
  std::uint64_t mRefused = 0;          /**< Requests refused for any reason. */
  std::uint64_t mRefusedByLimit = 0;   /**< Refused: over a limit of the team. */
  std::uint64_t mShed = 0;             /**< Refused: expected to miss the deadline. */
  std::uint64_t mDeadlinesMissed = 0;  /**< Refused: deadline passed during an attempt. */
  std::uint64_t mVersionWithdrawn = 0; /**< Refused: version withdrawn or stopped. */
  std::uint64_t mQuarantined = 0;      /**< Refused: fingerprint in quarantine. */
  std::uint64_t mAttempts = 0;         /**< Dispatch steps. */
  std::uint64_t mRetries = 0;          /**< Dispatch steps after a failed attempt. */
  std::uint64_t mRetriesDenied = 0;    /**< Retries refused by the retry budget. */
  std::uint64_t mHedges = 0;           /**< Second attempts in parallel with a slow one. */
  std::uint64_t mHedgesWon = 0;        /**< Hedges that completed first. */
  std::uint64_t mEscalations = 0;      /**< Cascade steps to a more expensive model. */
  std::uint64_t mZoneSpills = 0;       /**< Attempts sent to another zone. */
  std::uint64_t mAffinityHits = 0;     /**< Attempts sent to the endpoint of their prefix. */
  std::uint64_t mBreakersOpened = 0;   /**< Times that an endpoint's breaker opened. */
  std::uint64_t mVersionsStopped = 0;  /**< Versions stopped by evidence, roll or alert. */
  std::uint64_t mEndpointCrashes = 0;  /**< Endpoint crashes observed. */
};

} // namespace skylarkchute
