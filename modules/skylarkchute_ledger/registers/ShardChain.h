#pragma once

#include "RegisterCodec.h"
#include "RegisterOutput.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace skylarkchute {

/** What one shard chain wants done after an event: at most one call at a time. */
struct ShardOutput
{
  std::optional<ObjectOperation> mOperation;
  std::vector<RegisterOutcome> mOutcomes;
  std::vector<LogEvent> mEvents;
};

/** One shard of the write-once registers with group commit.

    The head object holds the newest registers and is moved only by conditional update. A full head
    is sealed, copied to `registers/SHARD/NUMBER` if absent, and goes on empty under the next
    number. Writes that arrive during a commit join the next one. Any instance may write any shard:
    a second writer costs conflicts, which are answered by reading the head again. */
class ShardChain
{
public:
  /** @param aShard  number of the shard, part of its object keys */
  ShardChain(std::uint32_t aShard, const RegisterOptions& aOptions);

  /** Queues a write. Call Continue afterwards. */
  void AddWrite(std::uint64_t aTicket, const RegisterWrite& aWrite, TimePoint aNow);

  /** Queues a read. Call Continue afterwards. */
  void AddRead(std::uint64_t aTicket, const std::string& aKey, TimePoint aNow);

  /** Starts the next call unless one is under way. */
  ShardOutput Continue(TimePoint aNow, WallTime aWallNow);

  /** Takes in the outcome of the call under way and starts the next one. */
  ShardOutput OnReply(const ObjectReply& aReply, TimePoint aNow, WallTime aWallNow);

  /** Ends what took too long, and drives retries and the removal of expired segments. */
  ShardOutput Tick(TimePoint aNow, WallTime aWallNow);

  /** Returns whether nothing is queued or under way. */
  bool IsIdle() const;

  /** Returns the time of the last write or read. */
  TimePoint LastUse() const { return mLastUse; }

  /** Returns the number of registers held in memory. */
  std::size_t RegisterCount() const { return mKnown.size(); }

private:
  enum class Step
  {
    Idle,
    List,         /**< Read the whole chain. */
    RefreshHead,  /**< Read the head again after a conflict, a lost answer or for a read. */
    FetchSegment, /**< Read a sealed segment that another instance wrote. */
    Commit,
    WriteSegment, /**< Copy the sealed head. */
    RemoveSegment,
  };

  struct Pending
  {
    std::uint64_t mTicket = 0;
    RegisterWrite mWrite;
    bool mReadOnly = false;
    bool mUncertain = false; /**< Part of a commit whose outcome is not known. */
    bool mInCommit = false;  /**< Part of the commit under way. */
    bool mInLook = false;    /**< A read that was waiting when the look under way began. */
    bool mLooked = false;    /**< A read for which the head was read after its arrival. */
    TimePoint mGiveUpAt;
  };

  struct KnownRegister
  {
    RegisterWrite mRegister;
    std::uint64_t mSegment = 0;
  };

  std::string HeadKey() const;
  std::string SegmentKey(std::uint64_t aNumber) const;
  bool IsExpired(const RegisterWrite& aRegister, WallTime aWallNow) const;
  void Learn(const RegisterWrite& aRegister, std::uint64_t aSegment);
  void LearnSegment(std::uint64_t aNumber, const std::vector<RegisterWrite>& aRegisters);
  void LearnHead(const ShardHead& aHead, const ObjectVersion& aVersion);
  bool Answer(const Pending& aPending, WallTime aWallNow, ShardOutput& aOutput) const;
  void AnswerKnown(WallTime aWallNow, ShardOutput& aOutput);
  void SettleUncertain();
  void MarkLook();
  void EndLook();
  void OnListed(const ObjectReply& aReply, ShardOutput& aOutput);
  void OnRefreshed(const ObjectReply& aReply, ShardOutput& aOutput);
  void OnFetched(const ObjectReply& aReply, ShardOutput& aOutput);
  void OnCommitted(const ObjectReply& aReply, ShardOutput& aOutput);
  void OnSegmentWritten(const ObjectReply& aReply);
  void OnSegmentRemoved(const ObjectReply& aReply);
  void OnCorrupt(ShardOutput& aOutput);
  void BackOff(const ObjectReply& aReply, TimePoint aNow);
  void FailCertain(ShardOutput& aOutput);
  void StartNext(WallTime aWallNow, ShardOutput& aOutput);
  bool StartLook(ShardOutput& aOutput);
  void StartCommit(WallTime aWallNow, ShardOutput& aOutput);
  void Send(Step aStep, ObjectOperation aOperation, ShardOutput& aOutput);
  bool HasWaitingRead() const;
  std::optional<std::uint64_t> MissingSegment() const;
  std::uint64_t FirstLiveSegment(WallTime aWallNow) const;
  void ForgetExpired();

  std::uint32_t mShard;
  RegisterOptions mOptions;
  std::deque<Pending> mPending;

  Step mStep = Step::Idle;
  TimePoint mNotBefore; /**< No call before this time, after the store refused one. */
  std::chrono::milliseconds mBackoff{ 0 };
  TimePoint mLastUse;

  bool mLoaded = false;
  bool mStale = false;                       /**< The head may have moved. */
  std::optional<ObjectVersion> mHeadVersion; /**< Empty while the shard has no head. */
  ShardHead mHead;
  bool mSegmentCopied = false; /**< The sealed head is known to be copied to its segment. */
  bool mOwesCopy = false;      /**< This instance sealed the head and copies it at once. */
  /** Expiry of the last register of each sealed segment in memory, by number. */
  std::map<std::uint64_t, WallTime> mSegments;
  std::unordered_map<std::string, KnownRegister> mKnown;

  ShardHead mProposed;         /**< Body of the commit under way. */
  std::uint64_t mFetching = 0; /**< Segment of the fetch under way. */
  std::optional<ObjectVersion> mCommitBase;
  bool mCommitUncertain = false;        /**< A commit on mCommitBase may still take effect. */
  std::optional<std::uint64_t> mRemove; /**< First of the segments to remove; the last one is
                                             before the first that counts. */
};

} // namespace skylarkchute
