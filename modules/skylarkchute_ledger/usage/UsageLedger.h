#pragma once

#include "UsageBatchWriter.h"

#include <map>
#include <set>

namespace skylarkchute {

/** A peer that may hold usage records, with its zone. */
struct BackupCandidate
{
  InstanceId mId;
  ZoneName mZone;
};

/** What the ledger wants done after an event. */
struct UsageOutput
{
  std::vector<ObjectCall> mCalls;
  std::vector<UsageMessage> mMessages;
  /** Requests whose record survives the end of this instance: their answers may end. */
  std::vector<RequestId> mSafe;
  std::vector<LogEvent> mEvents;
};

/** Keeps one usage record for each accepted request of this instance until it is durable, and
    holds records for peers.

    Records are sealed into batches that are written if absent. Until then a backup peer, in another
    zone if there is one, holds a copy; when the owner is gone the backup writes the same batch
    name. */
class UsageLedger
{
public:
  struct Options
  {
    InstanceId mSelf;
    IncarnationId mIncarnation;
    ZoneName mZone;
    std::size_t mMostBatchRecords = 500;
    std::chrono::milliseconds mMostBatchAge{ 1000 };
    /** Records, own and held for peers, that are kept at most. */
    std::size_t mMostRecords = 100000;
    std::chrono::milliseconds mBackupTimeout{ 300 };
    /** Pause after every peer has failed in turn. */
    std::chrono::milliseconds mBackupRetry{ 100 };
    /** An answer does not wait longer than this for its record to be safe. */
    std::chrono::milliseconds mLongestWait{ 2000 };
    /** Held records are written by the backup after this time, whatever became of the owner. */
    std::chrono::seconds mLongestHold{ 5 };
    UsageBatchWriter::Options mWriter;
  };

  explicit UsageLedger(Options aOptions);

  /** Takes in the live peers, without this instance. Records held by one that is gone are sent to
      another. */
  UsageOutput SetPeers(const std::vector<BackupCandidate>& aPeers, TimePoint aNow);

  /** Adds the record of a request; the request is reported safe later, once. */
  UsageOutput Record(const UsageRecord& aRecord, TimePoint aNow);

  /** Returns whether more requests may be accepted. */
  bool HasRoom() const;

  /** Takes in the reply to a backup message. */
  UsageOutput OnBackupReply(std::uint64_t aId, bool aHeld, TimePoint aNow);

  /** Takes in the message `usage.backup`.
      @returns whether the records are held; the reply says so */
  bool OnBackup(const std::string& aParams, TimePoint aNow);

  /** Takes in the message `usage.drop`. */
  void OnDrop(const std::string& aParams);

  /** Writes what is held for an incarnation that has ended, and gives what it held to another peer.
      @param aInstance  the instance that it was a life of */
  UsageOutput IncarnationGone(const IncarnationId& aIncarnation,
                              const InstanceId& aInstance,
                              TimePoint aNow);

  /** Takes in the outcome of one of the calls. */
  UsageOutput OnReply(const ObjectReply& aReply, TimePoint aNow);

  /** Drives ages and retries. */
  UsageOutput Tick(TimePoint aNow);

  /** Seals everything and writes what is held for peers now, before a stop. */
  UsageOutput Flush(TimePoint aNow);

  /** Returns whether every record, own and held, is durable or was dropped by its owner. */
  bool IsDrained() const;

private:
  struct Entry
  {
    UsageRecord mRecord;
    TimePoint mAddedAt;
    InstanceId mHolder;     /**< Empty while no backup holds it. */
    bool mReported = false; /**< As safe. */
  };

  struct BackupCall
  {
    InstanceId mTo;
    std::uint64_t mSequence = 0;
    std::vector<RequestId> mRequests;
    TimePoint mGiveUpAt;
  };

  struct HeldKey
  {
    IncarnationId mOwner;
    std::uint64_t mSequence = 0;
    auto operator<=>(const HeldKey&) const = default;
  };

  struct Held
  {
    std::vector<UsageRecord> mRecords;
    TimePoint mSince;
    bool mWriting = false;
  };

  using Batch = std::vector<Entry>;

  void AddToOpen(Entry aEntry, TimePoint aNow);
  void Seal(TimePoint aNow);
  void SealIfDue(TimePoint aNow);
  void SendBackup(TimePoint aNow, UsageOutput& aOutput);
  void ClearHolders(const std::set<InstanceId>& aKept);
  void ReportUnprotected(TimePoint aNow, UsageOutput& aOutput);
  void WriteHeld(const HeldKey& aKey, Held& aHeld);
  void OnOwnWritten(const WrittenBatch& aWritten, TimePoint aNow, UsageOutput& aOutput);
  void OnHeldWritten(const WrittenBatch& aWritten, TimePoint aNow, UsageOutput& aOutput);
  void Take(BatchWriterOutput aWriter, TimePoint aNow, UsageOutput& aOutput);
  void Advance(TimePoint aNow, UsageOutput& aOutput);
  Entry* Find(std::uint64_t aSequence, const RequestId& aRequest);

  Options mOptions;
  UsageBatchWriter mWriter;
  std::vector<InstanceId> mBackups; /**< In the order in which they are asked. */
  std::size_t mBackup = 0;          /**< Index of the one in use. */
  std::size_t mBackupFailures = 0;  /**< In a row. */
  TimePoint mBackupNotBefore;
  std::uint64_t mNextMessage = 1;
  std::optional<BackupCall> mBackupCall;
  std::uint64_t mBackupCallId = 0;

  std::uint64_t mSequence = 1; /**< Of the open batch. */
  TimePoint mOpenedAt;
  std::map<std::uint64_t, Batch> mBatches; /**< Open and sealed, until durable. */
  std::size_t mOwnCount = 0;
  std::map<HeldKey, Held> mHeld;
  std::size_t mHeldCount = 0;
};

} // namespace skylarkchute
