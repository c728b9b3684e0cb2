#include "ShardChain.h"

#include "../events/LedgerEvents.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace skylarkchute {

namespace {

/** Group commits stop growing here, well below the platform's largest value. */
constexpr std::size_t kLargestHeadBytes = 512UL * 1024UL;
/** Bytes that the JSON around one register takes at most, besides its key and value. */
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
  , mBackoff(aOptions.mFirstRetry)
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
  return mStep == Step::Idle && mPending.empty() && !mOwesCopy && !mRemove;
}

void ShardChain::AddWrite(std::uint64_t aTicket, const RegisterWrite& aWrite, TimePoint aNow)
{
  Pending pending;
  pending.mTicket = aTicket;
  pending.mWrite = aWrite;
  pending.mGiveUpAt = aNow + mOptions.mGiveUp;
  mPending.push_back(std::move(pending));
  mLastUse = aNow;
}

void ShardChain::AddRead(std::uint64_t aTicket, const std::string& aKey, TimePoint aNow)
{
  Pending pending;
  pending.mTicket = aTicket;
  pending.mWrite.mKey = aKey;
  pending.mReadOnly = true;
  pending.mGiveUpAt = aNow + mOptions.mGiveUp;
  mPending.push_back(std::move(pending));
  mLastUse = aNow;
}

ShardOutput ShardChain::Continue(TimePoint aNow, WallTime aWallNow)
{
  ShardOutput output;
  if (mStep == Step::Idle && aNow >= mNotBefore) {
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
    AnswerKnown(aWallNow, aOutput);
    if (!mPending.empty() && StartLook(aOutput)) {
      return;
    }
    SettleUncertain();
    AnswerKnown(aWallNow, aOutput);
  }
  if (mHead.mSealed && !mSegmentCopied && (mOwesCopy || !mPending.empty())) {
    Send(
      Step::WriteSegment, PutObject{ SegmentKey(mHead.mNumber), EncodeHead(mHead), {} }, aOutput);
    return;
  }
  if (!mPending.empty()) {
    StartCommit(aWallNow, aOutput);
    return;
  }
  if (mRemove && *mRemove >= mHead.mFirst) {
    mRemove.reset();
  }
  if (mRemove) {
    Send(Step::RemoveSegment, DeleteObject{ SegmentKey(*mRemove) }, aOutput);
  }
}

bool ShardChain::StartLook(ShardOutput& aOutput)
{
  if (!mLoaded) {
    MarkLook();
    Send(Step::List, ListObjects{ "registers/" + std::to_string(mShard) + "/" }, aOutput);
    return true;
  }
  if (mStale || HasWaitingRead()) {
    MarkLook();
    Send(Step::RefreshHead, GetObject{ HeadKey() }, aOutput);
    return true;
  }
  if (const auto missing = MissingSegment()) {
    mFetching = *missing;
    Send(Step::FetchSegment, GetObject{ SegmentKey(mFetching) }, aOutput);
    return true;
  }
  return false;
}

void ShardChain::StartCommit(WallTime aWallNow, ShardOutput& aOutput)
{
  mProposed = mHead;
  if (mHead.mSealed) {
    mProposed.mRegisters.clear();
    mProposed.mSealed = false;
    ++mProposed.mNumber;
  }
  mProposed.mFirst = FirstLiveSegment(aWallNow);
  std::set<std::string> keys;
  auto bytes = SizeOf(mProposed.mRegisters);
  for (auto& it : mPending) {
    const auto size = SizeOf(it.mWrite);
    const bool fits = keys.empty() || bytes + size <= kLargestHeadBytes;
    if (!fits || !keys.insert(it.mWrite.mKey).second) {
      continue;
    }
    it.mInCommit = true;
    bytes += size;
    mProposed.mRegisters.push_back(it.mWrite);
  }
  mProposed.mSealed =
    mProposed.mRegisters.size() >= mOptions.mSegmentRegisters || bytes >= mOptions.mSegmentBytes;
  Send(Step::Commit, PutObject{ HeadKey(), EncodeHead(mProposed), mHeadVersion }, aOutput);
}

ShardOutput ShardChain::OnReply(const ObjectReply& aReply, TimePoint aNow, WallTime aWallNow)
{
  ShardOutput output;
  const auto step = std::exchange(mStep, Step::Idle);
  switch (step) {
    case Step::Idle:
      return output;
    case Step::List:
      OnListed(aReply, output);
      break;
    case Step::RefreshHead:
      OnRefreshed(aReply, output);
      break;
    case Step::FetchSegment:
      OnFetched(aReply, output);
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
  const bool lostRead = status == ObjectStatus::Unknown && step != Step::Commit;
  if (status == ObjectStatus::Unavailable) {
    FailCertain(output);
  }
  if (refused || lostRead) {
    BackOff(aReply, aNow);
  } else {
    mBackoff = mOptions.mFirstRetry;
  }
  if (aNow >= mNotBefore) {
    StartNext(aWallNow, output);
  }
  return output;
}

void ShardChain::OnListed(const ObjectReply& aReply, ShardOutput& aOutput)
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
    LearnHead(*head, it.mVersion);
  }
  for (const auto& it : aReply.mEntries) {
    const auto number = SegmentNumber(it.mKey, prefixLength);
    if (!number || it.mDeleted) {
      continue;
    }
    const auto segment = DecodeHead(it.mBody);
    if (*number < mHead.mFirst) {
      mRemove = std::min(mRemove.value_or(*number), *number);
    } else if (*number < mHead.mNumber && segment) {
      LearnSegment(*number, segment->mRegisters);
    }
  }
  mLoaded = true;
  mStale = false;
  EndLook();
}

void ShardChain::OnRefreshed(const ObjectReply& aReply, ShardOutput& aOutput)
{
  if (aReply.mStatus == ObjectStatus::NotFound && !mHeadVersion) {
    mStale = false;
    EndLook();
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
  LearnHead(*head, aReply.mVersion);
  mStale = false;
  EndLook();
}

void ShardChain::OnFetched(const ObjectReply& aReply, ShardOutput& aOutput)
{
  if (aReply.mStatus == ObjectStatus::NotFound) {
    // The segment expired and was removed after the head was read.
    mStale = true;
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
  LearnSegment(mFetching, segment->mRegisters);
}

void ShardChain::OnCommitted(const ObjectReply& aReply, ShardOutput& aOutput)
{
  const auto status = aReply.mStatus;
  if (status == ObjectStatus::Ok) {
    const auto oldFirst = mHead.mFirst;
    LearnHead(mProposed, aReply.mVersion);
    mOwesCopy = mHead.mSealed;
    mCommitUncertain = false;
    if (mHead.mFirst > oldFirst) {
      mRemove = std::min(mRemove.value_or(oldFirst), oldFirst);
    }
  }
  if (status == ObjectStatus::Unknown) {
    mCommitUncertain = true;
    mCommitBase = mHeadVersion;
    aOutput.mEvents.push_back({ &kRegisterReadBack, { { "shard", std::to_string(mShard) } } });
  }
  if (status == ObjectStatus::Conflict) {
    aOutput.mEvents.push_back({ &kRegisterConflict, { { "shard", std::to_string(mShard) } } });
  }
  mStale = status == ObjectStatus::Unknown || status == ObjectStatus::Conflict ||
           status == ObjectStatus::NotFound;
  for (auto& it : mPending) {
    it.mUncertain = it.mUncertain || (it.mInCommit && status == ObjectStatus::Unknown);
    it.mInCommit = false;
  }
}

void ShardChain::OnSegmentWritten(const ObjectReply& aReply)
{
  // A conflict shows that the same sealed content has been copied before.
  if (aReply.mStatus == ObjectStatus::Ok || aReply.mStatus == ObjectStatus::Conflict) {
    mSegmentCopied = true;
    mOwesCopy = false;
  }
}

void ShardChain::OnSegmentRemoved(const ObjectReply& aReply)
{
  if (mRemove && (aReply.mStatus == ObjectStatus::Ok || aReply.mStatus == ObjectStatus::NotFound)) {
    ++*mRemove;
  }
}

void ShardChain::OnCorrupt(ShardOutput& aOutput)
{
  aOutput.mEvents.push_back({ &kRegisterCorrupt, { { "shard", std::to_string(mShard) } } });
  mLoaded = false;
  for (const auto& it : mPending) {
    const auto result = it.mUncertain ? RegisterResult::Unresolved : RegisterResult::NotWritten;
    aOutput.mOutcomes.push_back({ it.mTicket, result, {} });
  }
  mPending.clear();
}

void ShardChain::BackOff(const ObjectReply& aReply, TimePoint aNow)
{
  mNotBefore = aNow + std::max(mBackoff, aReply.mRetryAfter);
  mBackoff = std::min(mBackoff * 2, mOptions.mLongestRetry);
}

void ShardChain::FailCertain(ShardOutput& aOutput)
{
  const auto count = mPending.size();
  std::deque<Pending> uncertain;
  for (auto& it : mPending) {
    if (it.mUncertain) {
      uncertain.push_back(std::move(it));
    } else {
      aOutput.mOutcomes.push_back({ it.mTicket, RegisterResult::NotWritten, {} });
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
  std::deque<Pending> kept;
  for (auto& it : mPending) {
    if (aNow < it.mGiveUpAt) {
      kept.push_back(std::move(it));
      continue;
    }
    const bool certain = it.mReadOnly || !(it.mUncertain || it.mInCommit);
    const auto result = certain ? RegisterResult::NotWritten : RegisterResult::Unresolved;
    output.mOutcomes.push_back({ it.mTicket, result, {} });
  }
  mPending = std::move(kept);
  if (mStep == Step::Idle && aNow >= mNotBefore) {
    StartNext(aWallNow, output);
  }
  return output;
}

} // namespace skylarkchute
