#include "CallRateLimiter.h"

#include "../events/PlatformEvents.h"

#include <algorithm>

namespace skylarkchute {

namespace {

constexpr double kMinBucketCapacity = 1.0; // A call costs one token; less would block every call.

bool IsWatch(const ObjectCall& aCall)
{
  return std::holds_alternative<WatchObjects>(aCall.mOperation);
}

bool IsWriteCall(const ObjectCall& aCall)
{
  return std::holds_alternative<PutObject>(aCall.mOperation) ||
         std::holds_alternative<DeleteObject>(aCall.mOperation);
}

bool IsFailure(ObjectStatus aStatus)
{
  return aStatus == ObjectStatus::Unavailable || aStatus == ObjectStatus::Unknown;
}

} // namespace

CallRateLimiter::CallRateLimiter(Options aOptions)
  : mOptions(aOptions)
  , mJitterState(aOptions.mSeed)
{
  SetFleetSize(1);
  mReads.mTokens = mReads.mCapacity;
  mWrites.mTokens = mWrites.mCapacity;
}

void CallRateLimiter::SetFleetSize(std::size_t aInstances)
{
  const auto size = static_cast<double>(std::max<std::size_t>(aInstances, 1));
  const auto burstSeconds = std::chrono::duration<double>(mOptions.mBurstWindow).count();
  mReads.mRate = mOptions.mFleetReadsPerSecond / size;
  mWrites.mRate = mOptions.mFleetWritesPerSecond / size;
  mReads.mCapacity = std::max(kMinBucketCapacity, mReads.mRate * burstSeconds);
  mWrites.mCapacity = std::max(kMinBucketCapacity, mWrites.mRate * burstSeconds);
}

RateLimiterOutput CallRateLimiter::Submit(const ObjectCall& aCall, TimePoint aNow)
{
  RateLimiterOutput output;
  if (mOutage && !IsWatch(aCall) && !IsProbeDue(aNow)) {
    Refuse(aCall, output);
    return output;
  }
  mWaiting.emplace(aCall.mPurpose, WaitingCall{ aCall, aNow + aCall.mTimeout });
  SendWaitingCalls(aNow, output);
  return output;
}

RateLimiterOutput CallRateLimiter::OnReply(const ObjectReply& aReply, TimePoint aNow)
{
  RateLimiterOutput output;
  if (IsFailure(aReply.mStatus)) {
    ++mFailures;
    if (!mOutage && mFailures >= mOptions.mFailuresForOutage) {
      mOutage = true;
      mProbePeriod = mOptions.mInitialProbePeriod;
      output.mEvents.push_back({ &kStoreOutageBegan, {} });
    }
    if (mOutage) {
      ScheduleProbe(aNow);
    }
    return output;
  }
  mFailures = 0;
  if (mOutage) {
    mOutage = false;
    output.mEvents.push_back({ &kStoreOutageEnded, {} });
  }
  SendWaitingCalls(aNow, output);
  return output;
}

RateLimiterOutput CallRateLimiter::Tick(TimePoint aNow)
{
  RateLimiterOutput output;
  for (auto it = mWaiting.begin(); it != mWaiting.end();) {
    const bool refusable = !IsWatch(it->second.mCall) && (mOutage || aNow >= it->second.mDeadline);
    if (refusable && !(mOutage && IsProbeDue(aNow))) {
      Refuse(it->second.mCall, output);
      it = mWaiting.erase(it);
    } else {
      ++it;
    }
  }
  SendWaitingCalls(aNow, output);
  return output;
}

void CallRateLimiter::Refill(Bucket& aBucket, TimePoint aNow) const
{
  const auto elapsed = std::chrono::duration<double>(aNow - aBucket.mLastRefill).count();
  aBucket.mLastRefill = aNow;
  aBucket.mTokens = std::min(aBucket.mCapacity, aBucket.mTokens + elapsed * aBucket.mRate);
}

bool CallRateLimiter::TryConsumeToken(const ObjectCall& aCall, TimePoint aNow)
{
  auto& bucket = IsWriteCall(aCall) ? mWrites : mReads;
  Refill(bucket, aNow);
  if (bucket.mTokens < 1.0) {
    return false;
  }
  bucket.mTokens -= 1.0;
  return true;
}

void CallRateLimiter::SendWaitingCalls(TimePoint aNow, RateLimiterOutput& aOutput)
{
  for (auto it = mWaiting.begin(); it != mWaiting.end();) {
    if (mOutage && !IsProbeDue(aNow)) {
      return;
    }
    if (!TryConsumeToken(it->second.mCall, aNow)) {
      ++it;
      continue;
    }
    if (mOutage) {
      ScheduleProbe(aNow);
    }
    ++CountFor(it->first).mSent;
    aOutput.mSend.push_back(it->second.mCall);
    it = mWaiting.erase(it);
  }
}

void CallRateLimiter::Refuse(const ObjectCall& aCall, RateLimiterOutput& aOutput)
{
  ++CountFor(aCall.mPurpose).mRefused;
  ObjectReply reply;
  reply.mId = aCall.mId;
  reply.mStatus = ObjectStatus::Unavailable;
  reply.mRetryAfter = mOutage ? mProbePeriod : std::chrono::milliseconds(1000);
  aOutput.mRefused.push_back(reply);
}

bool CallRateLimiter::IsProbeDue(TimePoint aNow) const
{
  return aNow >= mNextProbe;
}

void CallRateLimiter::ScheduleProbe(TimePoint aNow)
{
  mJitterState = StableHash("probe", mJitterState + 1);
  const auto jitterPercent = 50 + static_cast<std::int64_t>(mJitterState % 101);
  mNextProbe = aNow + mProbePeriod * jitterPercent / 100;
  mProbePeriod = std::min(mProbePeriod * 2, mOptions.mMaxProbePeriod);
}

CallPurposeCount& CallRateLimiter::CountFor(CallPurpose aPurpose)
{
  for (auto& it : mCounts) {
    if (it.mPurpose == aPurpose) {
      return it;
    }
  }
  mCounts.push_back({ aPurpose });
  return mCounts.back();
}

} // namespace skylarkchute
