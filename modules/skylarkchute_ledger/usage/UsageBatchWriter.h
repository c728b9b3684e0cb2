#pragma once

#include "UsageMessages.h"

#include <map>

namespace skylarkchute {

/** A batch name that is durable now. */
struct WrittenBatch
{
  UsageBatch mBatch;                 /**< As given to Add. */
  std::vector<UsageRecord> mMissing; /**< Those that another writer's batch of that name lacks. */
};

/** What the writer wants done after an event. */
struct BatchWriterOutput
{
  std::vector<ObjectCall> mCalls;
  std::vector<WrittenBatch> mWritten;
};

/** Writes usage batches if absent, until each name is durable. */
class UsageBatchWriter
{
public:
  struct Options
  {
    std::size_t mMostInFlight = 4;
    std::chrono::milliseconds mFirstRetry{ 50 };
    std::chrono::milliseconds mLongestRetry{ 2000 };
    std::chrono::milliseconds mCallTimeout{ 2000 };
  };

  explicit UsageBatchWriter(Options aOptions) : mOptions(aOptions) {}

  /** Queues a batch with records. Call Tick to start it. */
  void Add(UsageBatch aBatch);

  /** Takes in the outcome of one of the calls. */
  BatchWriterOutput OnReply(const ObjectReply& aReply, TimePoint aNow);

  /** Starts what may be started. */
  BatchWriterOutput Tick(TimePoint aNow);

  /** Returns the number of records in queued batches. */
  std::size_t RecordCount() const { return mRecordCount; }

  /** Returns whether every batch is durable. */
  bool IsIdle() const { return mJobs.empty(); }

private:
  enum class Stage
  {
    Waiting,
    Writing,
    Reading,
  };

  struct Job
  {
    UsageBatch mBatch;
    Stage mStage = Stage::Waiting;
    bool mReadNext = false; /**< The name is taken; read what is there. */
    std::uint64_t mCall = 0;
    TimePoint mRetryAt;
    std::chrono::milliseconds mBackoff{ 0 };
  };

  void Start(Job& aJob, BatchWriterOutput& aOutput);
  void StartDue(TimePoint aNow, BatchWriterOutput& aOutput);
  void Postpone(Job& aJob, const ObjectReply& aReply, TimePoint aNow) const;
  void Finish(std::vector<Job>::iterator aJob,
              std::vector<UsageRecord> aMissing,
              BatchWriterOutput& aOutput);
  void OnRead(std::vector<Job>::iterator aJob,
              const ObjectReply& aReply,
              TimePoint aNow,
              BatchWriterOutput& aOutput);

  Options mOptions;
  std::uint64_t mNextCall = 1;
  std::vector<Job> mJobs; /**< Oldest first. */
  std::size_t mRecordCount = 0;
};

} // namespace skylarkchute
