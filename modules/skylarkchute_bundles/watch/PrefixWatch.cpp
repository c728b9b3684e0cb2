#include "PrefixWatch.h"

namespace skylarkchute {

namespace {

/** The driver's own time limit comes first; this one covers a reply that never comes. */
constexpr int kDeadlineFactor = 2;

} // namespace

PrefixWatch::PrefixWatch(const WatchOptions& aOptions)
  : mOptions(aOptions)
  , mDelay(aOptions.mRetryLeast, aOptions.mRetryMost, aOptions.mSeed)
{
}

std::optional<ObjectCall> PrefixWatch::Poll(std::uint64_t aId, TimePoint aNow)
{
  if (mCallId && aNow >= mDeadline) {
    Fail(aNow);
  }
  if (mCallId || aNow < mNextAt) {
    return std::nullopt;
  }
  ObjectCall call;
  call.mId = aId;
  call.mPurpose = mOptions.mPurpose;
  call.mTimeout = mOptions.mCallTimeout;
  mCallIsWatch = mPosition.has_value();
  if (mCallIsWatch) {
    // Waits of different length keep the watches of a fleet from ending together.
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

std::optional<PrefixSighting> PrefixWatch::OnReply(const ObjectReply& aReply, TimePoint aNow)
{
  if (mCallId != aReply.mId) {
    return std::nullopt;
  }
  PrefixSighting sighting;
  if (aReply.mStatus != ObjectStatus::Ok) {
    Fail(aNow);
    sighting.mFailed = true;
    return sighting;
  }
  mCallId.reset();
  mFailing = false;
  mDelay.Reset();
  mPosition = aReply.mPosition;
  mNextAt = aNow + mDelay.Uniform(mOptions.mRearmJitter);
  sighting.mComplete = !mCallIsWatch;
  sighting.mEntries = aReply.mEntries;
  // A watch answers when something changed or its wait is over, a list at any time since the call.
  sighting.mHoldsAt = mCallIsWatch ? aNow : mSentAt;
  return sighting;
}

void PrefixWatch::Fail(TimePoint aNow)
{
  mCallId.reset();
  mPosition.reset();
  mFailing = true;
  mNextAt = aNow + mDelay.NextAfterFailure();
}

void PrefixWatch::Restart(TimePoint aNow)
{
  mCallId.reset();
  mPosition.reset();
  mNextAt = aNow;
}

} // namespace skylarkchute
