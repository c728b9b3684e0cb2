#include "PrefixWatch.h"

namespace skylarkchute {

namespace {

/** The driver that executes the calls applies mCallTimeout itself. This multiple of a call's
    timeout is the deadline if the driver delivers no reply at all. */
constexpr int kDeadlineFactor = 2;

} // namespace

PrefixWatch::PrefixWatch(const WatchOptions& aOptions)
  : mOptions(aOptions)
  , mDelay(aOptions.mMinRetryDelay, aOptions.mMaxRetryDelay, aOptions.mSeed)
{
}

std::optional<ObjectCall> PrefixWatch::Poll(std::uint64_t aId, TimePoint aNow)
{
  if (mCallId && aNow >= mDeadline) {
    Fail(aNow);
  }
  if (mCallId || aNow < mNextCallAt) {
    return std::nullopt;
  }
  ObjectCall call;
  call.mId = aId;
  call.mPurpose = mOptions.mPurpose;
  call.mTimeout = mOptions.mCallTimeout;
  mCallIsWatch = mPosition.has_value();
  if (mCallIsWatch) {
    // Random waits keep the watches of all instances from returning at the same time.
    const auto wait = mOptions.mWait / 2 + mDelay.Uniform(mOptions.mWait / 2);
    call.mOperation = WatchObjects{ mOptions.mPrefix, *mPosition, wait };
    call.mTimeout += wait;
  } else {
    call.mOperation = ListObjects{ mOptions.mPrefix };
  }
  mCallId = aId;
  mSentAt = aNow;
  mDeadline = aNow + call.mTimeout * kDeadlineFactor;
  return call;
}

std::optional<PrefixUpdate> PrefixWatch::OnReply(const ObjectReply& aReply, TimePoint aNow)
{
  if (mCallId != aReply.mId) {
    return std::nullopt;
  }
  PrefixUpdate update;
  if (aReply.mStatus != ObjectStatus::Ok) {
    Fail(aNow);
    update.mFailed = true;
    return update;
  }
  mCallId.reset();
  mFailing = false;
  mDelay.Reset();
  mPosition = aReply.mPosition;
  mNextCallAt = aNow + mDelay.Uniform(mOptions.mRearmJitter);
  update.mComplete = !mCallIsWatch;
  update.mEntries = aReply.mEntries;
  // A watch reflects the time of its reply: it returns on a change or at the end of its wait. A
  // list may have been read at any time since the call was sent.
  update.mValidAt = mCallIsWatch ? aNow : mSentAt;
  return update;
}

void PrefixWatch::Fail(TimePoint aNow)
{
  mCallId.reset();
  mPosition.reset();
  mFailing = true;
  mNextCallAt = aNow + mDelay.NextAfterFailure();
}

void PrefixWatch::Restart(TimePoint aNow)
{
  mCallId.reset();
  mPosition.reset();
  mNextCallAt = aNow;
}

} // namespace skylarkchute
