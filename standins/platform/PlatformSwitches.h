#pragma once

#include <chrono>
#include <mutex>
#include <random>

namespace skylarkchute::standins {

/** What goes wrong with the platform stand-in, set by tests through `/standin/switches`. */
struct PlatformFaults
{
  bool mOutage = false;                    /**< Every object call gets 503. */
  std::chrono::milliseconds mDelay{ 0 };   /**< Added to every object call. */
  std::uint32_t mLostAnswers = 0;          /**< So many next writes take effect unanswered. */
  std::chrono::milliseconds mListLag{ 0 }; /**< Of the instance list behind the truth. */
  std::uint32_t mWritesPerSecond = 500;
  std::uint32_t mReadsPerSecond = 2000;
};

/** How many calls of each kind came in. */
struct PlatformCounters
{
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
  std::uint64_t mWatches = 0;
  std::uint64_t mThrottled = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mLost = 0;
};

/** Faults, counters and rate limits of the platform stand-in. Safe to use from several threads. */
class PlatformSwitches
{
public:
  /** Returns the faults in force. */
  PlatformFaults Faults() const;

  /** Puts other faults in force. */
  void SetFaults(const PlatformFaults& aFaults);

  /** Returns the counters. */
  PlatformCounters Counters() const;

  /** Counts a read or write against its rate; returns false when the rate is used up. */
  bool AdmitRead();
  bool AdmitWrite();

  /** Counts a watch. */
  void CountWatch();

  /** Counts a call refused by an outage. */
  void CountRefused();

  /** Returns whether the answer of this write is to be lost. */
  bool TakeLostAnswer();

private:
  bool Admit(std::uint64_t& aCounter, std::uint32_t& aUsed, std::uint32_t aLimit);

  mutable std::mutex mMutex;
  PlatformFaults mFaults;
  PlatformCounters mCounters;
  std::chrono::steady_clock::time_point mSecondStart;
  std::uint32_t mReadsUsed = 0;
  std::uint32_t mWritesUsed = 0;
};

} // namespace skylarkchute::standins
