#pragma once

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <deque>
#include <map>
#include <vector>

namespace skylarkchute {

/** Calls to send and calls refused by the CallRateLimiter. */
struct RateLimiterOutput
{
  std::vector<ObjectCall> mSend;     /**< To be sent now. */
  std::vector<ObjectReply> mRefused; /**< Replies to calls that were dropped without being sent. */
  std::vector<LogEvent> mEvents;
};

/** Number of calls of one purpose, for metrics. */
struct CallPurposeCount
{
  CallPurpose mPurpose = CallPurpose::Status;
  std::uint64_t mSent = 0;
  std::uint64_t mRefused = 0;
};

/** Rate limiter and circuit breaker for one instance's calls to the platform.

    The fleet's rates are divided equally among the instances; reads and writes have a token bucket
    each. Calls are sent in order of purpose, claims first. A call that cannot be sent before its
    timeout is refused as unavailable, so that its caller can report that nothing was sent. After
    mFailuresForOutage consecutive failures the store is considered down: calls are refused at once,
    except for one probe per period. The period has jitter and doubles up to a limit. Watches are
    queued during an outage and are never refused because of the rate. */
class CallRateLimiter
{
public:
  struct Options
  {
    double mFleetWritesPerSecond = 300;
    double mFleetReadsPerSecond = 1500;
    std::chrono::milliseconds mBurstWindow{ 1000 }; /**< Bucket capacity: rate times this. */
    std::uint32_t mFailuresForOutage = 5;           /**< Consecutive failures. */
    std::chrono::milliseconds mInitialProbePeriod{ 200 };
    std::chrono::milliseconds mMaxProbePeriod{ 5000 };
    std::uint64_t mSeed = 0;
  };

  explicit CallRateLimiter(Options aOptions);

  /** Sets the number of instances that share the fleet's rates. */
  void SetFleetSize(std::size_t aInstances);

  /** Submits a call. It is sent or refused in this output or in that of a later call. */
  RateLimiterOutput Submit(const ObjectCall& aCall, TimePoint aNow);

  /** Records the outcome of a sent call. Any outcome but Unavailable and Unknown ends an outage. */
  RateLimiterOutput OnReply(const ObjectReply& aReply, TimePoint aNow);

  /** Sends waiting calls within the rates and refuses those past their timeout. */
  RateLimiterOutput Tick(TimePoint aNow);

  /** Returns whether the store is considered down. */
  bool IsOutage() const { return mOutage; }

  /** Returns the counts by purpose. */
  std::vector<CallPurposeCount> Counts() const { return mCounts; }

private:
  struct WaitingCall
  {
    ObjectCall mCall;
    TimePoint mDeadline;
  };

  struct Bucket
  {
    double mTokens = 0;
    double mRate = 0;
    double mCapacity = 0;
    TimePoint mLastRefill;
  };

  void Refill(Bucket& aBucket, TimePoint aNow) const;
  bool TryConsumeToken(const ObjectCall& aCall, TimePoint aNow);
  void SendWaitingCalls(TimePoint aNow, RateLimiterOutput& aOutput);
  void Refuse(const ObjectCall& aCall, RateLimiterOutput& aOutput);
  bool IsProbeDue(TimePoint aNow) const;
  void ScheduleProbe(TimePoint aNow);
  CallPurposeCount& CountFor(CallPurpose aPurpose);

  Options mOptions;
  Bucket mReads;
  Bucket mWrites;
  std::multimap<CallPurpose, WaitingCall> mWaiting;
  std::vector<CallPurposeCount> mCounts;
  std::uint32_t mFailures = 0;
  bool mOutage = false;
  std::chrono::milliseconds mProbePeriod{ 0 };
  TimePoint mNextProbe;
  std::uint64_t mJitterState;
};

} // namespace skylarkchute
