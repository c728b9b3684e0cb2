#pragma once

#include "UsageMessages.h"

#include <map>

namespace skylarkchute {

/** A batch whose object is durable. */
struct WrittenBatch
{
  UsageBatch mBatch; /**< As given to Add. */
  /** Records that the durable object lacks, if its key already existed. */
  std::vector<UsageRecord> mMissing;
};

/** Store calls to make and batches that became durable, as returned by the writer's methods. */
struct BatchWriterOutput
{
  std::vector<ObjectCall> mCalls;
  std::vector<WrittenBatch> mWritten;
};

/** Writes usage batches to the store and retries until each one is durable.

    A batch is written only if its key is absent. If the key already exists, the writer reads the
    object and reports which records it lacks. */
class UsageBatchWriter
{
public:
  struct Options
  {
    std::size_t mMaxInFlight = 4;
    std::chrono::milliseconds mInitialBackoff{ 50 };
    std::chrono::milliseconds mMaxBackoff{ 2000 };
    std::chrono::milliseconds mCallTimeout{ 2000 };
  };

  explicit UsageBatchWriter(Options aOptions) : mOptions(aOptions) {}

  /** Queues a batch, which must have at least one record. Tick starts the write. */
  void Add(UsageBatch aBatch);

  /** Handles the reply to one of the writer's store calls; unknown ids are ignored. */
  BatchWriterOutput OnReply(const ObjectReply& aReply, TimePoint aNow);

  /** Starts the queued batches whose retry time has come, up to mMaxInFlight at a time. */
  BatchWriterOutput Tick(TimePoint aNow);

  /** Returns the number of records in batches that are not yet durable. */
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
    bool mReadNext = false; /**< The key exists; read the object instead of writing it. */
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
