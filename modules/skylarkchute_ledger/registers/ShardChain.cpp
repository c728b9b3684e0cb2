#include "ShardChain.h"

#include "../events/LedgerEvents.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace skylarkchute {

namespace {

/** A group commit takes no more writes above this size of the head, well below the platform's
    maximum value size. */
constexpr std::size_t kMaxHeadBytes = 512UL * 1024UL;
/** Maximum size of the JSON syntax around the key and value of one register. */
constexpr std::size_t kRegisterOverheadBytes = 48;

std::size_t SizeOf(const RegisterWrite& aRegister)
{
  return aRegister.mKey.size() + aRegister.mValue.size() + kRegisterOverheadBytes;
}

std::size_t SizeOf(const std::vector<RegisterWrite>& aRegisters)
{
  std::size_t size = 0;
  for (const auto& it : aRegisters) {
    size += SizeOf(it);
  }
  return size;
}

std::optional<std::uint64_t> SegmentNumber(const std::string& aKey, std::size_t aPrefixLength)
{
  std::uint64_t number = 0;
  const char* first = aKey.data() + std::min(aPrefixLength, aKey.size());
  const char* last = aKey.data() + aKey.size();
  const auto result = std::from_chars(first, last, number);
  if (result.ec != std::errc() || result.ptr != last) {
    return std::nullopt;
  }
  return number;
}

} // namespace

ShardChain::ShardChain(std::uint32_t aShard, const RegisterOptions& aOptions)
  : mShard(aShard)
  , mOptions(aOptions)
  , mBackoff(aOptions.mInitialBackoff)
{
}

std::string ShardChain::HeadKey() const
{
  return "registers/" + std::to_string(mShard) + "/head";
}

std::string ShardChain::SegmentKey(std::uint64_t aNumber) const
{
  return "registers/" + std::to_string(mShard) + "/" + std::to_string(aNumber);
}

bool ShardChain::IsExpired(const RegisterWrite& aRegister, WallTime aWallNow) const
{
  return aRegister.mExpires + mOptions.mExpiryMargin <= aWallNow;
}

bool ShardChain::IsIdle() const
{
  return mStep == Step::Idle && mPending.empty() && !mMustCopySegment && !mNextRemoval;
}

void ShardChain::AddWrite(std::uint64_t aOperationId, const RegisterWrite& aWrite, TimePoint aNow)
{
  Pending pending;
  pending.mOperationId = aOperationId;
  pending.mWrite = aWrite;
  pending.mDeadline = aNow + mOptions.mOperationTimeout;
  mPending.push_back(std::move(pending));
  mLastUse = aNow;
}

void ShardChain::AddRead(std::uint64_t aOperationId, const std::string& aKey, TimePoint aNow)
{
  Pending pending;
  pending.mOperationId = aOperationId;
  pending.mWrite.mKey = aKey;
  pending.mReadOnly = true;
  pending.mDeadline = aNow + mOptions.mOperationTimeout;
  mPending.push_back(std::move(pending));
  mLastUse = aNow;
}

ShardOutput ShardChain::Continue(TimePoint aNow, WallTime aWallNow)
{
  ShardOutput output;
  if (mStep == Step::Idle && aNow >= mNextCallAt) {
    StartNext(aWallNow, output);
  }
  return output;
}

void ShardChain::Send(Step aStep, ObjectOperation aOperation, ShardOutput& aOutput)
{
  mStep = aStep;
  aOutput.mOperation = std::move(aOperation);
}

void ShardChain::StartNext(WallTime aWallNow, ShardOutput& aOutput)
{
  if (!mPending.empty()) {
    ResolvePending(aWallNow, aOutput);
    if (!mPending.empty() && StartStateRead(aOutput)) {
      return;
    }
    ResolveUncertain();
    ResolvePending(aWallNow, aOutput);
  }
  if (mHead.mSealed && !mSegmentCopied && (mMustCopySegment || !mPending.empty())) {
    Send(
      Step::WriteSegment, PutObject{ SegmentKey(mHead.mNumber), EncodeHead(mHead), {} }, aOutput);
    return;
  }
  if (!mPending.empty()) {
    StartCommit(aWallNow, aOutput);
    return;
  }
  if (mNextRemoval && *mNextRemoval >= mHead.mFirst) {
    mNextRemoval.reset();
  }
  if (mNextRemoval) {
    Send(Step::RemoveSegment, DeleteObject{ SegmentKey(*mNextRemoval) }, aOutput);
  }
}

bool ShardChain::StartStateRead(ShardOutput& aOutput)
{
  if (!mChainLoaded) {
    BeginHeadRead();
    Send(Step::List, ListObjects{ "registers/" + std::to_string(mShard) + "/" }, aOutput);
    return true;
  }
  if (mHeadStale || HasWaitingRead()) {
    BeginHeadRead();
    Send(Step::RefreshHead, GetObject{ HeadKey() }, aOutput);
    return true;
  }
  if (const auto missing = FirstUnreadSegment()) {
    mFetchedSegment = *missing;
    Send(Step::FetchSegment, GetObject{ SegmentKey(mFetchedSegment) }, aOutput);
    return true;
  }
  if (mNeededSegment) {
    mFetchedSegment = *mNeededSegment;
    Send(Step::FetchSegment, GetObject{ SegmentKey(mFetchedSegment) }, aOutput);
    return true;
  }
  return false;
}

void ShardChain::StartCommit(WallTime aWallNow, ShardOutput& aOutput)
{
  mProposedHead = mHead;
  if (mHead.mSealed) {
    mProposedHead.mRegisters.clear();
    mProposedHead.mSealed = false;
    ++mProposedHead.mNumber;
  }
  mProposedHead.mFirst = FirstLiveSegment(aWallNow);
  std::set<std::string> keys;
  auto bytes = SizeOf(mProposedHead.mRegisters);
  for (auto& it : mPending) {
    const auto size = SizeOf(it.mWrite);
    const bool fits = keys.empty() || bytes + size <= kMaxHeadBytes;
    if (!fits || !keys.insert(it.mWrite.mKey).second) {
      continue;
    }
    it.mInCommit = true;
    bytes += size;
    mProposedHead.mRegisters.push_back(it.mWrite);
  }
  mProposedHead.mSealed = mProposedHead.mRegisters.size() >= mOptions.mSegmentRegisters ||
                          bytes >= mOptions.mSegmentBytes;
  Send(Step::Commit, PutObject{ HeadKey(), EncodeHead(mProposedHead), mHeadVersion }, aOutput);
}

ShardOutput ShardChain::OnReply(const ObjectReply& aReply, TimePoint aNow, WallTime aWallNow)
{
  ShardOutput output;
  const auto step = std::exchange(mStep, Step::Idle);
  switch (step) {
    case Step::Idle:
      return output;
    case Step::List:
      OnChainListed(aReply, output);
      break;
    case Step::RefreshHead:
      OnHeadRefreshed(aReply, output);
      break;
    case Step::FetchSegment:
      OnSegmentFetched(aReply, output);
      break;
    case Step::Commit:
      OnCommitted(aReply, output);
      break;
    case Step::WriteSegment:
      OnSegmentWritten(aReply);
      break;
    case Step::RemoveSegment:
      OnSegmentRemoved(aReply);
      break;
  }
  const auto status = aReply.mStatus;
  const bool refused = status == ObjectStatus::Throttled || status == ObjectStatus::Unavailable;
  const bool failedRead = status == ObjectStatus::Unknown && step != Step::Commit;
  if (status == ObjectStatus::Unavailable) {
    FailNotWritten(output);
  }
  if (refused || failedRead) {
    ScheduleRetry(aReply, aNow);
  } else {
    mBackoff = mOptions.mInitialBackoff;
  }
  if (aNow >= mNextCallAt) {
    StartNext(aWallNow, output);
  }
  return output;
}

void ShardChain::OnChainListed(const ObjectReply& aReply, ShardOutput& aOutput)
{
  if (aReply.mStatus != ObjectStatus::Ok) {
    return;
  }
  const auto headKey = HeadKey();
  const auto prefixLength = headKey.size() - std::string_view("head").size();
  mHeadVersion.reset();
  mHead = ShardHead();
  for (const auto& it : aReply.mEntries) {
    if (it.mKey != headKey || it.mDeleted) {
      continue;
    }
    const auto head = DecodeHead(it.mBody);
    if (!head) {
      OnCorrupt(aOutput);
      return;
    }
    ApplyHead(*head, it.mVersion);
  }
  for (const auto& it : aReply.mEntries) {
    const auto number = SegmentNumber(it.mKey, prefixLength);
    if (!number || it.mDeleted) {
      continue;
    }
    const auto segment = DecodeHead(it.mBody);
    if (*number < mHead.mFirst) {
      mNextRemoval = std::min(mNextRemoval.value_or(*number), *number);
    } else if (*number < mHead.mNumber && segment) {
      AddSegment(*number, segment->mRegisters);
    }
  }
  mChainLoaded = true;
  mHeadStale = false;
  EndHeadRead();
}

void ShardChain::OnHeadRefreshed(const ObjectReply& aReply, ShardOutput& aOutput)
{
  if (aReply.mStatus == ObjectStatus::NotFound && !mHeadVersion) {
    mHeadStale = false;
    EndHeadRead();
    return;
  }
  if (aReply.mStatus == ObjectStatus::NotFound) {
    OnCorrupt(aOutput);
    return;
  }
  if (aReply.mStatus != ObjectStatus::Ok) {
    return;
  }
  const auto head = DecodeHead(aReply.mBody);
  if (!head) {
    OnCorrupt(aOutput);
    return;
  }
  ApplyHead(*head, aReply.mVersion);
  mHeadStale = false;
  EndHeadRead();
}

void ShardChain::OnSegmentFetched(const ObjectReply& aReply, ShardOutput& aOutput)
{
  if (aReply.mStatus == ObjectStatus::NotFound) {
    // The segment has expired and was removed after the head was read.
    mHeadStale = true;
    return;
  }
  if (aReply.mStatus != ObjectStatus::Ok) {
    return;
  }
  const auto segment = DecodeHead(aReply.mBody);
  if (!segment) {
    OnCorrupt(aOutput);
    return;
  }
  AddSegment(mFetchedSegment, segment->mRegisters);
}

void ShardChain::OnCommitted(const ObjectReply& aReply, ShardOutput& aOutput)
{
  const auto status = aReply.mStatus;
  if (status == ObjectStatus::Ok) {
    const auto oldFirst = mHead.mFirst;
    ApplyHead(mProposedHead, aReply.mVersion);
    mMustCopySegment = mHead.mSealed;
    mCommitUncertain = false;
    if (mHead.mFirst > oldFirst) {
      mNextRemoval = std::min(mNextRemoval.value_or(oldFirst), oldFirst);
    }
  }
  if (status == ObjectStatus::Unknown) {
    mCommitUncertain = true;
    mCommitBaseVersion = mHeadVersion;
    aOutput.mEvents.push_back({ &kRegisterReadBack, { { "shard", std::to_string(mShard) } } });
  }
  if (status == ObjectStatus::Conflict) {
    aOutput.mEvents.push_back({ &kRegisterConflict, { { "shard", std::to_string(mShard) } } });
  }
  mHeadStale = status == ObjectStatus::Unknown || status == ObjectStatus::Conflict ||
               status == ObjectStatus::NotFound;
  for (auto& it : mPending) {
    it.mUncertain = it.mUncertain || (it.mInCommit && status == ObjectStatus::Unknown);
    it.mInCommit = false;
  }
}

void ShardChain::OnSegmentWritten(const ObjectReply& aReply)
{
  // A conflict means that the sealed head has already been copied.
  if (aReply.mStatus == ObjectStatus::Ok || aReply.mStatus == ObjectStatus::Conflict) {
    mSegmentCopied = true;
    mMustCopySegment = false;
  }
}

void ShardChain::OnSegmentRemoved(const ObjectReply& aReply)
{
  if (mNextRemoval &&
      (aReply.mStatus == ObjectStatus::Ok || aReply.mStatus == ObjectStatus::NotFound)) {
    ++*mNextRemoval;
  }
}

void ShardChain::OnCorrupt(ShardOutput& aOutput)
{
  aOutput.mEvents.push_back({ &kRegisterCorrupt, { { "shard", std::to_string(mShard) } } });
  mChainLoaded = false;
  for (const auto& it : mPending) {
    const auto result = it.mUncertain ? RegisterResult::Unresolved : RegisterResult::NotWritten;
    aOutput.mOutcomes.push_back({ it.mOperationId, result, {} });
  }
  mPending.clear();
}

void ShardChain::ScheduleRetry(const ObjectReply& aReply, TimePoint aNow)
{
  mNextCallAt = aNow + std::max(mBackoff, aReply.mRetryAfter);
  mBackoff = std::min(mBackoff * 2, mOptions.mMaxBackoff);
}

void ShardChain::FailNotWritten(ShardOutput& aOutput)
{
  const auto count = mPending.size();
  std::deque<Pending> uncertain;
  for (auto& it : mPending) {
    if (it.mUncertain) {
      uncertain.push_back(std::move(it));
    } else {
      aOutput.mOutcomes.push_back({ it.mOperationId, RegisterResult::NotWritten, {} });
    }
  }
  mPending = std::move(uncertain);
  if (mPending.size() != count) {
    aOutput.mEvents.push_back({ &kRegisterStoreDown, { { "shard", std::to_string(mShard) } } });
  }
}

ShardOutput ShardChain::Tick(TimePoint aNow, WallTime aWallNow)
{
  ShardOutput output;
  std::deque<Pending> remaining;
  for (auto& it : mPending) {
    if (aNow < it.mDeadline) {
      remaining.push_back(std::move(it));
      continue;
    }
    const bool certainlyNotWritten = it.mReadOnly || !(it.mUncertain || it.mInCommit);
    const auto result =
      certainlyNotWritten ? RegisterResult::NotWritten : RegisterResult::Unresolved;
    output.mOutcomes.push_back({ it.mOperationId, result, {} });
  }
  mPending = std::move(remaining);
  if (mStep == Step::Idle && aNow >= mNextCallAt) {
    StartNext(aWallNow, output);
  }
  return output;
}

} // namespace skylarkchute
