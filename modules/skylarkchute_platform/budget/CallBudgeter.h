#pragma once

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <deque>
#include <map>
#include <vector>

namespace skylarkchute {

/** What the budgeter lets through and what it refuses. */
struct BudgetOutput
{
  std::vector<ObjectCall> mSend;     /**< To be carried out now. */
  std::vector<ObjectReply> mRefused; /**< Given up on without having been sent. */
  std::vector<LogEvent> mEvents;
};

/** Counts of calls by purpose, for metrics. */
struct BudgetCount
{
  CallPurpose mPurpose = CallPurpose::Status;
  std::uint64_t mSent = 0;
  std::uint64_t mRefused = 0;
};

/** Keeps one instance's calls to the platform within its part of the fleet's rates.

    Calls leave in order of purpose, claims first. A call that cannot leave before its timeout is
    refused as unavailable, so its caller can answer honestly. After several failures in a row the
    store counts as down: calls are refused at once but for one probe a period, which grows with
    jitter up to a bound. Waiting watches are held back in an outage and never refused for rate. */
class CallBudgeter
{
public:
  struct Options
  {
    double mFleetWritesPerSecond = 300;
    double mFleetReadsPerSecond = 1500;
    std::chrono::milliseconds mBurst{ 1000 }; /**< A bucket holds the rate over this time. */
    std::uint32_t mFailuresForOutage = 5;     /**< In a row. */
    std::chrono::milliseconds mFirstProbe{ 200 };
    std::chrono::milliseconds mLongestProbe{ 5000 };
    std::uint64_t mSeed = 0;
  };

  explicit CallBudgeter(Options aOptions);

  /** Sets over how many instances the fleet's rates are split. */
  void SetFleetSize(std::size_t aInstances);

  /** Takes a call; it leaves now or in a later Tick, or is refused. */
  BudgetOutput Submit(const ObjectCall& aCall, TimePoint aNow);

  /** Takes note of an outcome. */
  BudgetOutput OnReply(const ObjectReply& aReply, TimePoint aNow);

  /** Lets waiting calls leave and gives up on those past their timeout. */
  BudgetOutput Tick(TimePoint aNow);

  /** Returns whether the store counts as down. */
  bool IsOutage() const { return mOutage; }

  /** Returns the counts by purpose. */
  std::vector<BudgetCount> Counts() const { return mCounts; }

private:
  struct Waiting
  {
    ObjectCall mCall;
    TimePoint mGiveUp;
  };

  struct Bucket
  {
    double mTokens = 0;
    double mRate = 0;
    double mCapacity = 0;
    TimePoint mFilled;
  };

  void Refill(Bucket& aBucket, TimePoint aNow) const;
  bool TryTake(const ObjectCall& aCall, TimePoint aNow);
  void SendWaiting(TimePoint aNow, BudgetOutput& aOutput);
  void Refuse(const ObjectCall& aCall, BudgetOutput& aOutput);
  bool IsProbeDue(TimePoint aNow) const;
  void ScheduleProbe(TimePoint aNow);
  BudgetCount& CountOf(CallPurpose aPurpose);

  Options mOptions;
  Bucket mReads;
  Bucket mWrites;
  std::multimap<CallPurpose, Waiting> mWaiting;
  std::vector<BudgetCount> mCounts;
  std::uint32_t mFailures = 0;
  bool mOutage = false;
  std::chrono::milliseconds mProbePeriod{ 0 };
  TimePoint mNextProbe;
  std::uint64_t mJitterState;
};

} // namespace skylarkchute
