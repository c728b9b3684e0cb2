#include "ShardChain.h"

#include <algorithm>
#include <cassert>

namespace skylarkchute {

namespace {

/** Number of sealed segments whose content a shard keeps in memory. */
constexpr std::size_t kMaxCachedSegments = 8;

} // namespace

ShardChain::Lookup ShardChain::Find(const std::string& aKey) const
{
  const auto inHead = mHeadIndex.find(aKey);
  if (inHead != mHeadIndex.end()) {
    return { LookupResult::Found, &mHead.mRegisters[inHead->second], 0 };
  }
  const auto range = mSealedIndex.equal_range(StableHash(aKey));
  Lookup newest;
  std::uint64_t newestSegment = 0;
  for (auto it = range.first; it != range.second; ++it) {
    const auto cached = mSegmentCache.find(it->second);
    if (cached == mSegmentCache.end()) {
      return { LookupResult::NeedsSegment, nullptr, it->second };
    }
    // A key can be in several segments: it may be written again after its register has expired.
    for (const auto& entry : cached->second) {
      if (entry.mKey == aKey && it->second >= newestSegment) {
        newest = { LookupResult::Found, &entry, 0 };
        newestSegment = it->second;
      }
    }
  }
  return newest;
}

void ShardChain::AddSegment(std::uint64_t aNumber, const Registers& aRegisters)
{
  assert(aNumber >= mHead.mFirst);
  if (mSegmentExpiry.count(aNumber) == 0) {
    WallTime last{};
    for (const auto& it : aRegisters) {
      mSealedIndex.emplace(StableHash(it.mKey), aNumber);
      last = std::max(last, it.mExpires);
    }
    mSegmentExpiry[aNumber] = last;
  }
  if (!mSegmentCache.insert_or_assign(aNumber, aRegisters).second) {
    return;
  }
  mSegmentCacheOrder.push_back(aNumber);
  if (mSegmentCacheOrder.size() > kMaxCachedSegments) {
    mSegmentCache.erase(mSegmentCacheOrder.front());
    mSegmentCacheOrder.pop_front();
  }
}

void ShardChain::ApplyHead(const ShardHead& aHead, const ObjectVersion& aVersion)
{
  if (mHead.mSealed && aHead.mNumber > mHead.mNumber) {
    AddSegment(mHead.mNumber, mHead.mRegisters);
  }
  mSegmentCopied = mSegmentCopied && aHead.mSealed && aHead.mNumber == mHead.mNumber;
  mMustCopySegment = mMustCopySegment && aHead.mSealed && aHead.mNumber == mHead.mNumber;
  const bool segmentsExpired = aHead.mFirst > mHead.mFirst;
  mHead = aHead;
  mHeadVersion = aVersion;
  mHeadIndex.clear();
  for (std::size_t n = 0; n < mHead.mRegisters.size(); ++n) {
    mHeadIndex[mHead.mRegisters[n].mKey] = n;
  }
  if (segmentsExpired) {
    DropExpiredSegments();
  }
}

bool ShardChain::TryResolve(const Pending& aPending, WallTime aWallNow, ShardOutput& aOutput)
{
  const auto lookup = Find(aPending.mWrite.mKey);
  if (lookup.mResult == LookupResult::NeedsSegment) {
    mNeededSegment = lookup.mSegment;
    return false;
  }
  const bool found = lookup.mResult == LookupResult::Found;
  if (found && !IsExpired(*lookup.mRegister, aWallNow)) {
    const auto& value = lookup.mRegister->mValue;
    const bool ownValue = !aPending.mReadOnly && value == aPending.mWrite.mValue;
    aOutput.mOutcomes.push_back(
      { aPending.mOperationId, ownValue ? RegisterResult::Won : RegisterResult::Lost, value });
    return true;
  }
  if (aPending.mReadOnly && aPending.mHeadReadDone && !mHeadStale && !FirstUnreadSegment()) {
    aOutput.mOutcomes.push_back({ aPending.mOperationId, RegisterResult::Absent, {} });
    return true;
  }
  return false;
}

void ShardChain::ResolvePending(WallTime aWallNow, ShardOutput& aOutput)
{
  mNeededSegment.reset();
  std::deque<Pending> remaining;
  for (auto& it : mPending) {
    if (!TryResolve(it, aWallNow, aOutput)) {
      remaining.push_back(std::move(it));
    }
  }
  mPending = std::move(remaining);
}

void ShardChain::ResolveUncertain()
{
  if (!mCommitUncertain || mHeadVersion == mCommitBaseVersion) {
    return;
  }
  // The head has changed since the base version of the uncertain commit, so its conditional update
  // can no longer succeed.
  mCommitUncertain = false;
  for (auto& it : mPending) {
    it.mUncertain = it.mUncertain && Find(it.mWrite.mKey).mResult != LookupResult::Absent;
  }
}

void ShardChain::BeginHeadRead()
{
  for (auto& it : mPending) {
    it.mInHeadRead = it.mReadOnly;
  }
}

void ShardChain::EndHeadRead()
{
  for (auto& it : mPending) {
    it.mHeadReadDone = it.mHeadReadDone || it.mInHeadRead;
    it.mInHeadRead = false;
  }
}

bool ShardChain::HasWaitingRead() const
{
  return std::any_of(mPending.begin(), mPending.end(), [](const Pending& aPending) {
    return aPending.mReadOnly && !aPending.mHeadReadDone;
  });
}

std::optional<std::uint64_t> ShardChain::FirstUnreadSegment() const
{
  for (auto n = mHead.mFirst; n < mHead.mNumber; ++n) {
    if (mSegmentExpiry.count(n) == 0) {
      return n;
    }
  }
  return std::nullopt;
}

std::uint64_t ShardChain::FirstLiveSegment(WallTime aWallNow) const
{
  auto first = mHead.mFirst;
  for (auto it = mSegmentExpiry.find(first); it != mSegmentExpiry.end();
       it = mSegmentExpiry.find(++first)) {
    if (it->second + mOptions.mExpiryMargin > aWallNow) {
      break;
    }
  }
  return first;
}

void ShardChain::DropExpiredSegments()
{
  mSegmentExpiry.erase(mSegmentExpiry.begin(), mSegmentExpiry.lower_bound(mHead.mFirst));
  for (auto it = mSealedIndex.begin(); it != mSealedIndex.end();) {
    it = it->second < mHead.mFirst ? mSealedIndex.erase(it) : std::next(it);
  }
}

} // namespace skylarkchute
