#pragma once

#include "UsageBatchWriter.h"

#include <map>
#include <set>

namespace skylarkchute {

/** A peer that can hold copies of usage records, with its availability zone. */
struct BackupCandidate
{
  InstanceId mId;
  ZoneName mZone;
};

/** Calls, messages and events to send, as returned by the ledger's methods. */
struct UsageOutput
{
  std::vector<ObjectCall> mCalls;
  std::vector<UsageMessage> mMessages;
  /** Requests whose responses may complete: the record is durable, a backup peer holds a copy, or
      mMaxResponseDelay has passed. */
  std::vector<RequestId> mReleasedRequests;
  std::vector<LogEvent> mEvents;
};

/** Keeps one usage record for each accepted request of this instance until it is durable, and
    holds copies of records for peers.

    Records are collected in batches, each written under a key that must be absent. Until a batch is
    durable, a backup peer holds a copy of it, in another zone if there is one. When the owner is
    gone, the backup writes the batch under the same key. */
class UsageLedger
{
public:
  struct Options
  {
    InstanceId mSelf;
    IncarnationId mIncarnation;
    ZoneName mZone;
    std::size_t mMaxBatchRecords = 500;
    std::chrono::milliseconds mMaxBatchAge{ 1000 };
    /** Maximum number of records in memory, own ones and those held for peers together. */
    std::size_t mMaxRecords = 100000;
    std::chrono::milliseconds mBackupTimeout{ 300 };
    /** Delay before the next attempt after every peer has failed in a row. */
    std::chrono::milliseconds mBackupRetryDelay{ 100 };
    /** Longest time that a response is delayed until its record is durable or held by a backup. */
    std::chrono::milliseconds mMaxResponseDelay{ 2000 };
    /** The backup writes held records after this time, even if their owner is alive. */
    std::chrono::seconds mMaxHoldTime{ 5 };
    UsageBatchWriter::Options mWriter;
  };

  explicit UsageLedger(Options aOptions);

  /** Sets the live peers, without this instance. Records whose backup is no longer among them are
      sent to another peer. */
  UsageOutput SetPeers(const std::vector<BackupCandidate>& aPeers, TimePoint aNow);

  /** Adds the record of a request. The request is listed exactly once in
     UsageOutput::mReleasedRequests, in this or a later output. */
  UsageOutput Record(const UsageRecord& aRecord, TimePoint aNow);

  /** Returns whether another record fits below mMaxRecords; if not, no request may be accepted. */
  bool HasRoom() const;

  /** Handles the reply to a backup message.
      @param aHeld  whether the peer holds the records; false if it refused or did not reply */
  UsageOutput OnBackupReply(std::uint64_t aId, bool aHeld, TimePoint aNow);

  /** Handles the peer message `usage.backup`.
      @returns whether the records are held, to be sent as the reply; false if the message cannot be
               decoded, there is no room, or the batch is already being written */
  bool OnBackup(const std::string& aParams, TimePoint aNow);

  /** Handles the peer message `usage.drop`: discards the held batch, unless it is being written. */
  void OnDrop(const std::string& aParams);

  /** Writes the records held for an incarnation that has ended, and sends the records that it held
      as a backup to another peer.
      @param aInstance  the instance of the incarnation */
  UsageOutput OnIncarnationEnded(const IncarnationId& aIncarnation,
                                 const InstanceId& aInstance,
                                 TimePoint aNow);

  /** Handles the reply to one of the store calls. */
  UsageOutput OnReply(const ObjectReply& aReply, TimePoint aNow);

  /** Handles everything that depends on time: batch ages, time limits and retries. */
  UsageOutput Tick(TimePoint aNow);

  /** Starts writing all records, own ones and those held for peers. Called before shutdown. */
  UsageOutput Flush(TimePoint aNow);

  /** Returns whether no record is left: each is durable or, if held, was dropped by its owner. */
  bool IsDrained() const;

private:
  struct Entry
  {
    UsageRecord mRecord;
    TimePoint mAddedAt;
    InstanceId mHolder;     /**< Backup peer that holds a copy; empty if none. */
    bool mReported = false; /**< Whether the request was listed in mReleasedRequests. */
  };

  struct BackupCall
  {
    InstanceId mTo;
    std::uint64_t mSequence = 0;
    std::vector<RequestId> mRequests;
    TimePoint mDeadline;
  };

  struct HeldBatchKey
  {
    IncarnationId mOwner;
    std::uint64_t mSequence = 0;
    auto operator<=>(const HeldBatchKey&) const = default;
  };

  struct HeldBatch
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
  void WriteHeld(const HeldBatchKey& aKey, HeldBatch& aHeld);
  void OnOwnWritten(const WrittenBatch& aWritten, TimePoint aNow, UsageOutput& aOutput);
  void OnHeldWritten(const WrittenBatch& aWritten, TimePoint aNow, UsageOutput& aOutput);
  void ApplyWriterOutput(BatchWriterOutput aWriter, TimePoint aNow, UsageOutput& aOutput);
  void Advance(TimePoint aNow, UsageOutput& aOutput);
  Entry* FindEntry(std::uint64_t aSequence, const RequestId& aRequest);

  Options mOptions;
  UsageBatchWriter mWriter;
  std::vector<InstanceId> mBackups; /**< In the order in which they are tried. */
  std::size_t mBackupIndex = 0;     /**< Index in mBackups of the peer in use. */
  std::size_t mBackupFailures = 0;  /**< Consecutive failures. */
  TimePoint mNextBackupAt;
  std::uint64_t mNextMessage = 1;
  std::optional<BackupCall> mBackupCall;
  std::uint64_t mBackupCallId = 0;

  std::uint64_t mSequence = 1; /**< Sequence number of the open batch. */
  TimePoint mOpenedAt;
  std::map<std::uint64_t, Batch> mBatches; /**< Open and sealed batches that are not durable. */
  std::size_t mOwnRecordCount = 0;
  std::map<HeldBatchKey, HeldBatch> mHeld;
  std::size_t mHeldRecordCount = 0;
};

} // namespace skylarkchute
