#include "ShardChain.h"

#include <algorithm>
#include <cassert>

namespace skylarkchute {

namespace {

/** Sealed segments that a shard keeps in memory whole. */
constexpr std::size_t kCachedSegments = 8;

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
    const auto cached = mCache.find(it->second);
    if (cached == mCache.end()) {
      return { LookupResult::NeedsSegment, nullptr, it->second };
    }
    // A key may stand in two segments once its first register has expired.
    for (const auto& entry : cached->second) {
      if (entry.mKey == aKey && it->second >= newestSegment) {
        newest = { LookupResult::Found, &entry, 0 };
        newestSegment = it->second;
      }
    }
  }
  return newest;
}

void ShardChain::LearnSegment(std::uint64_t aNumber, const Registers& aRegisters)
{
  assert(aNumber >= mHead.mFirst);
  if (mSegments.count(aNumber) == 0) {
    WallTime last{};
    for (const auto& it : aRegisters) {
      mSealedIndex.emplace(StableHash(it.mKey), aNumber);
      last = std::max(last, it.mExpires);
    }
    mSegments[aNumber] = last;
  }
  if (!mCache.insert_or_assign(aNumber, aRegisters).second) {
    return;
  }
  mCacheOrder.push_back(aNumber);
  if (mCacheOrder.size() > kCachedSegments) {
    mCache.erase(mCacheOrder.front());
    mCacheOrder.pop_front();
  }
}

void ShardChain::LearnHead(const ShardHead& aHead, const ObjectVersion& aVersion)
{
  if (mHead.mSealed && aHead.mNumber > mHead.mNumber) {
    LearnSegment(mHead.mNumber, mHead.mRegisters);
  }
  mSegmentCopied = mSegmentCopied && aHead.mSealed && aHead.mNumber == mHead.mNumber;
  mOwesCopy = mOwesCopy && aHead.mSealed && aHead.mNumber == mHead.mNumber;
  const bool moved = aHead.mFirst > mHead.mFirst;
  mHead = aHead;
  mHeadVersion = aVersion;
  mHeadIndex.clear();
  for (std::size_t n = 0; n < mHead.mRegisters.size(); ++n) {
    mHeadIndex[mHead.mRegisters[n].mKey] = n;
  }
  if (moved) {
    ForgetExpired();
  }
}

bool ShardChain::Answer(const Pending& aPending, WallTime aWallNow, ShardOutput& aOutput)
{
  const auto lookup = Find(aPending.mWrite.mKey);
  if (lookup.mResult == LookupResult::NeedsSegment) {
    mWanted = lookup.mSegment;
    return false;
  }
  const bool found = lookup.mResult == LookupResult::Found;
  if (found && !IsExpired(*lookup.mRegister, aWallNow)) {
    const auto& value = lookup.mRegister->mValue;
    const bool ours = !aPending.mReadOnly && value == aPending.mWrite.mValue;
    aOutput.mOutcomes.push_back(
      { aPending.mTicket, ours ? RegisterResult::Won : RegisterResult::Lost, value });
    return true;
  }
  if (aPending.mReadOnly && aPending.mLooked && !mStale && !MissingSegment()) {
    aOutput.mOutcomes.push_back({ aPending.mTicket, RegisterResult::Absent, {} });
    return true;
  }
  return false;
}

void ShardChain::AnswerKnown(WallTime aWallNow, ShardOutput& aOutput)
{
  mWanted.reset();
  std::deque<Pending> kept;
  for (auto& it : mPending) {
    if (!Answer(it, aWallNow, aOutput)) {
      kept.push_back(std::move(it));
    }
  }
  mPending = std::move(kept);
}

void ShardChain::SettleUncertain()
{
  if (!mCommitUncertain || mHeadVersion == mCommitBase) {
    return;
  }
  // The head has moved past the base of the lost commit, which can no longer take effect.
  mCommitUncertain = false;
  for (auto& it : mPending) {
    it.mUncertain = it.mUncertain && Find(it.mWrite.mKey).mResult != LookupResult::Absent;
  }
}

void ShardChain::MarkLook()
{
  for (auto& it : mPending) {
    it.mInLook = it.mReadOnly;
  }
}

void ShardChain::EndLook()
{
  for (auto& it : mPending) {
    it.mLooked = it.mLooked || it.mInLook;
    it.mInLook = false;
  }
}

bool ShardChain::HasWaitingRead() const
{
  return std::any_of(mPending.begin(), mPending.end(), [](const Pending& aPending) {
    return aPending.mReadOnly && !aPending.mLooked;
  });
}

std::optional<std::uint64_t> ShardChain::MissingSegment() const
{
  for (auto n = mHead.mFirst; n < mHead.mNumber; ++n) {
    if (mSegments.count(n) == 0) {
      return n;
    }
  }
  return std::nullopt;
}

std::uint64_t ShardChain::FirstLiveSegment(WallTime aWallNow) const
{
  auto first = mHead.mFirst;
  for (auto it = mSegments.find(first); it != mSegments.end(); it = mSegments.find(++first)) {
    if (it->second + mOptions.mExpiryMargin > aWallNow) {
      break;
    }
  }
  return first;
}

void ShardChain::ForgetExpired()
{
  mSegments.erase(mSegments.begin(), mSegments.lower_bound(mHead.mFirst));
  for (auto it = mSealedIndex.begin(); it != mSealedIndex.end();) {
    it = it->second < mHead.mFirst ? mSealedIndex.erase(it) : std::next(it);
  }
}

} // namespace skylarkchute
