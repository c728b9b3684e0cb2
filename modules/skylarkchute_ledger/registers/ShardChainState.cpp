#include "ShardChain.h"

#include <algorithm>

namespace skylarkchute {

void ShardChain::Learn(const RegisterWrite& aRegister, std::uint64_t aSegment)
{
  const auto it = mKnown.find(aRegister.mKey);
  if (it == mKnown.end()) {
    mKnown.emplace(aRegister.mKey, KnownRegister{ aRegister, aSegment });
  } else if (aSegment >= it->second.mSegment) {
    // A key may stand twice in a chain once its first register has expired.
    it->second = KnownRegister{ aRegister, aSegment };
  }
}

void ShardChain::LearnSegment(std::uint64_t aNumber, const std::vector<RegisterWrite>& aRegisters)
{
  WallTime last{};
  for (const auto& it : aRegisters) {
    Learn(it, aNumber);
    last = std::max(last, it.mExpires);
  }
  mSegments[aNumber] = last;
}

void ShardChain::LearnHead(const ShardHead& aHead, const ObjectVersion& aVersion)
{
  if (mHead.mSealed && aHead.mNumber > mHead.mNumber) {
    LearnSegment(mHead.mNumber, mHead.mRegisters);
  }
  mSegmentCopied = mSegmentCopied && aHead.mSealed && aHead.mNumber == mHead.mNumber;
  mOwesCopy = mOwesCopy && aHead.mSealed && aHead.mNumber == mHead.mNumber;
  for (const auto& it : aHead.mRegisters) {
    Learn(it, aHead.mNumber);
  }
  const bool moved = aHead.mFirst > mHead.mFirst;
  mHead = aHead;
  mHeadVersion = aVersion;
  if (moved) {
    ForgetExpired();
  }
}

bool ShardChain::Answer(const Pending& aPending, WallTime aWallNow, ShardOutput& aOutput) const
{
  const auto it = mKnown.find(aPending.mWrite.mKey);
  const bool known = it != mKnown.end() && !IsExpired(it->second.mRegister, aWallNow);
  if (known) {
    const auto& value = it->second.mRegister.mValue;
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
    it.mUncertain = it.mUncertain && mKnown.count(it.mWrite.mKey) != 0;
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
  for (auto it = mKnown.begin(); it != mKnown.end();) {
    it = it->second.mSegment < mHead.mFirst ? mKnown.erase(it) : std::next(it);
  }
}

} // namespace skylarkchute
