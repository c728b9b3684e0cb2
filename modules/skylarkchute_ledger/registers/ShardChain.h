#pragma once

#include "RegisterCodec.h"
#include "RegisterOutput.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace skylarkchute {

/** Actions that the caller of a ShardChain must carry out. A chain has at most one call under
    way. */
struct ShardOutput
{
  std::optional<ObjectOperation> mOperation;
  std::vector<RegisterOutcome> mOutcomes;
  std::vector<LogEvent> mEvents;
};

/** One shard of the write-once registers with group commit.

    The head object holds the newest registers and is changed only by conditional update. A full
    head is sealed and copied to the segment `registers/SHARD/NUMBER`, which is created if absent;
    then the head continues empty under the next number. Writes that arrive during a commit join the
    next one. Any instance may write any shard: concurrent writers cause update conflicts, after
    which the head is read again. */
class ShardChain
{
public:
  /** @param aShard  number of the shard, part of its object keys */
  ShardChain(std::uint32_t aShard, const RegisterOptions& aOptions);

  /** Queues a write. Call Continue afterwards. */
  void AddWrite(std::uint64_t aOperationId, const RegisterWrite& aWrite, TimePoint aNow);

  /** Queues a read. Call Continue afterwards. */
  void AddRead(std::uint64_t aOperationId, const std::string& aKey, TimePoint aNow);

  /** Starts the next call unless one is under way. */
  ShardOutput Continue(TimePoint aNow, WallTime aWallNow);

  /** Handles the reply to the call under way and starts the next one. */
  ShardOutput OnReply(const ObjectReply& aReply, TimePoint aNow, WallTime aWallNow);

  /** Ends operations that have timed out, runs due retries and removes expired segments. */
  ShardOutput Tick(TimePoint aNow, WallTime aWallNow);

  /** Returns whether nothing is queued or under way. */
  bool IsIdle() const;

  /** Returns the time at which the last write or read was queued. */
  TimePoint LastUse() const { return mLastUse; }

  /** Returns the number of registers indexed in memory. */
  std::size_t RegisterCount() const { return mSealedIndex.size() + mHeadIndex.size(); }

private:
  enum class Step
  {
    Idle,
    List,         /**< Read the head and all segments. */
    RefreshHead,  /**< Read the head after a conflict or lost reply, or for a read. */
    FetchSegment, /**< Read a sealed segment that is not in memory. */
    Commit,
    WriteSegment, /**< Copy the sealed head to its segment. */
    RemoveSegment,
  };

  struct Pending
  {
    std::uint64_t mOperationId = 0;
    RegisterWrite mWrite;
    bool mReadOnly = false;
    bool mUncertain = false;    /**< Part of a commit whose outcome is unknown. */
    bool mInCommit = false;     /**< Part of the commit under way. */
    bool mInHeadRead = false;   /**< A read that was queued before the head read under way began. */
    bool mHeadReadDone = false; /**< A read after whose arrival the head was read. */
    TimePoint mDeadline;
  };

  enum class LookupResult
  {
    Absent,
    Found,
    NeedsSegment, /**< A sealed segment that is not in memory may hold it. */
  };

  /** Result of a search for a register in memory. */
  struct Lookup
  {
    LookupResult mResult = LookupResult::Absent;
    const RegisterWrite* mRegister = nullptr; /**< Set with Found. */
    std::uint64_t mSegment = 0;               /**< Set with NeedsSegment. */
  };

  using Registers = std::vector<RegisterWrite>;

  std::string HeadKey() const;
  std::string SegmentKey(std::uint64_t aNumber) const;
  bool IsExpired(const RegisterWrite& aRegister, WallTime aWallNow) const;
  Lookup Find(const std::string& aKey) const;
  void AddSegment(std::uint64_t aNumber, const std::vector<RegisterWrite>& aRegisters);
  void ApplyHead(const ShardHead& aHead, const ObjectVersion& aVersion);
  bool TryResolve(const Pending& aPending, WallTime aWallNow, ShardOutput& aOutput);
  void ResolvePending(WallTime aWallNow, ShardOutput& aOutput);
  void ResolveUncertain();
  void BeginHeadRead();
  void EndHeadRead();
  void OnChainListed(const ObjectReply& aReply, ShardOutput& aOutput);
  void OnHeadRefreshed(const ObjectReply& aReply, ShardOutput& aOutput);
  void OnSegmentFetched(const ObjectReply& aReply, ShardOutput& aOutput);
  void OnCommitted(const ObjectReply& aReply, ShardOutput& aOutput);
  void OnSegmentWritten(const ObjectReply& aReply);
  void OnSegmentRemoved(const ObjectReply& aReply);
  void OnCorrupt(ShardOutput& aOutput);
  void ScheduleRetry(const ObjectReply& aReply, TimePoint aNow);
  void FailNotWritten(ShardOutput& aOutput);
  void StartNext(WallTime aWallNow, ShardOutput& aOutput);
  bool StartStateRead(ShardOutput& aOutput);
  void StartCommit(WallTime aWallNow, ShardOutput& aOutput);
  void Send(Step aStep, ObjectOperation aOperation, ShardOutput& aOutput);
  bool HasWaitingRead() const;
  std::optional<std::uint64_t> FirstUnreadSegment() const;
  std::uint64_t FirstLiveSegment(WallTime aWallNow) const;
  void DropExpiredSegments();

  std::uint32_t mShard;
  RegisterOptions mOptions;
  std::deque<Pending> mPending;

  Step mStep = Step::Idle;
  TimePoint mNextCallAt; /**< Earliest time of the next call, after a failed one. */
  std::chrono::milliseconds mBackoff{ 0 };
  TimePoint mLastUse;

  bool mChainLoaded = false;
  bool mHeadStale = false;                   /**< Another instance may have changed the head. */
  std::optional<ObjectVersion> mHeadVersion; /**< Empty while the shard has no head. */
  ShardHead mHead;
  bool mSegmentCopied = false;   /**< The sealed head is known to be copied to its segment. */
  bool mMustCopySegment = false; /**< This instance sealed the head and must copy it next. */
  /** Latest expiry of the registers of each indexed segment, by segment number. */
  std::map<std::uint64_t, WallTime> mSegmentExpiry;
  /** Index into mHead.mRegisters, by register key. */
  std::unordered_map<std::string, std::size_t> mHeadIndex;
  /** Number of the segment of each sealed register, by the hash of its key. */
  std::unordered_multimap<std::uint64_t, std::uint64_t> mSealedIndex;
  /** Content of the last segments added, by number. */
  std::map<std::uint64_t, Registers> mSegmentCache;
  std::deque<std::uint64_t> mSegmentCacheOrder; /**< Oldest first. */
  std::optional<std::uint64_t> mNeededSegment;  /**< Segment that a queued operation needs. */

  ShardHead mProposedHead;           /**< Head that the commit under way writes. */
  std::uint64_t mFetchedSegment = 0; /**< Segment that FetchSegment reads. */
  std::optional<ObjectVersion> mCommitBaseVersion;
  bool mCommitUncertain = false; /**< A commit based on mCommitBaseVersion may still take effect. */
  /** Next segment to remove, while there are any below mHead.mFirst. */
  std::optional<std::uint64_t> mNextRemoval;
};

} // namespace skylarkchute
