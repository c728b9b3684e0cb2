#pragma once

#include <chrono>
#include <mutex>
#include <random>

namespace skylarkchute::standins {

/** Faults and rate limits that tests inject through `/standin/switches`. */
struct PlatformFaults
{
  bool mOutage = false;                  /**< Whether every object call is answered with 503. */
  std::chrono::milliseconds mDelay{ 0 }; /**< Delay before each object call. */
  std::uint32_t mLostAnswers = 0; /**< Number of subsequent writes to apply without an answer. */
  std::chrono::milliseconds mInstanceListLag{ 0 }; /**< Age of the instance list served. */
  std::uint32_t mWritesPerSecond = 500;            /**< Beyond it, writes are answered with 429. */
  std::uint32_t mReadsPerSecond = 2000;            /**< Beyond it, reads are answered with 429. */
};

/** Number of object calls by kind and outcome. */
struct PlatformCounters
{
  std::uint64_t mReads = 0;  /**< Includes throttled reads. */
  std::uint64_t mWrites = 0; /**< Includes throttled writes. */
  std::uint64_t mWatches = 0;
  std::uint64_t mThrottled = 0; /**< Exceeded a rate limit. */
  std::uint64_t mRefused = 0;   /**< Refused during an outage. */
  std::uint64_t mLost = 0;      /**< Writes applied without an answer. */
};

/** Faults, counters and rate limits of the platform stand-in. Safe to use from several threads. */
class PlatformSwitches
{
public:
  /** Returns the faults and limits in effect. */
  PlatformFaults Faults() const;

  /** Replaces the faults and limits. */
  void SetFaults(const PlatformFaults& aFaults);

  PlatformCounters Counters() const;

  /** Count a read or write against its rate limit, in windows of one second.
      @returns false if the limit is exceeded */
  bool AdmitRead();
  bool AdmitWrite();

  void CountWatch();

  /** Counts a call that is refused because of an outage. */
  void CountRefused();

  /** Decrements PlatformFaults::mLostAnswers if it is above zero and counts the lost answer.
      @returns whether to drop the answer to the current write */
  bool ConsumeLostAnswer();

private:
  bool Admit(std::uint64_t& aCounter, std::uint32_t& aUsedInWindow, std::uint32_t aLimit);

  mutable std::mutex mMutex;
  PlatformFaults mFaults;
  PlatformCounters mCounters;
  std::chrono::steady_clock::time_point mWindowStart;
  std::uint32_t mReadsInWindow = 0;
  std::uint32_t mWritesInWindow = 0;
};

} // namespace skylarkchute::standins
