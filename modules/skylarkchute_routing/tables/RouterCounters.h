#pragma once

#include <cstdint>

namespace skylarkchute {

/** Totals of one router since its start. */
struct RouterCounters
{
  std::uint64_t mStarted = 0;          /**< Requests handed to the router. */
  std::uint64_t mAdmitted = 0;         /**< Requests that passed admission. */
  std::uint64_t mFinished = 0;         /**< Requests that ended with an answer. */
  std::uint64_t mRefused = 0;          /**< Requests that ended with a refusal, for any reason. */
  std::uint64_t mRefusedByLimit = 0;   /**< Of these: over a limit of the team. */
  std::uint64_t mShed = 0;             /**< Of these: expected to miss the deadline. */
  std::uint64_t mDeadlinesMissed = 0;  /**< Of these: deadline passed while an attempt ran. */
  std::uint64_t mVersionWithdrawn = 0; /**< Of these: the version was withdrawn or stopped. */
  std::uint64_t mQuarantined = 0;      /**< Of these: fingerprint in quarantine. */
  std::uint64_t mAttempts = 0;         /**< Dispatch steps. */
  std::uint64_t mRetries = 0;          /**< Dispatch steps after a failed attempt. */
  std::uint64_t mRetriesDenied = 0;    /**< Retries that the budget did not allow. */
  std::uint64_t mHedges = 0;           /**< Second attempts beside a slow one. */
  std::uint64_t mHedgesWon = 0;        /**< Hedges that answered first. */
  std::uint64_t mEscalations = 0;      /**< Cascade steps to a dearer model. */
  std::uint64_t mZoneSpills = 0;       /**< Attempts sent out of the own zone. */
  std::uint64_t mAffinityHits = 0;     /**< Attempts sent to the endpoint of their prefix. */
  std::uint64_t mBreakersOpened = 0;   /**< Endpoints taken out of use. */
  std::uint64_t mVersionsStopped = 0;  /**< Versions stopped by evidence, roll or alert. */
  std::uint64_t mEndpointCrashes = 0;  /**< Endpoint crashes seen. */
};

} // namespace skylarkchute
