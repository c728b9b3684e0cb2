#include "HeadWatch.h"

#include "../lifecycle/ObjectKeys.h"

namespace skylarkchute {

namespace {

/** The driver's own time limit comes first; this one covers a reply that never comes. */
constexpr int kDeadlineFactor = 2;

} // namespace

HeadWatch::HeadWatch(const FollowerOptions& aOptions)
  : mOptions(aOptions)
  , mDelay(aOptions.mRetryLeast, aOptions.mRetryMost, aOptions.mSeed)
{
}

std::optional<ObjectCall> HeadWatch::Poll(std::uint64_t aId, TimePoint aNow)
{
  if (mCallId && aNow >= mDeadline) {
    Fail(aNow);
  }
  if (mCallId || aNow < mNextAt) {
    return std::nullopt;
  }
  ObjectCall call;
  call.mId = aId;
  call.mPurpose = CallPurpose::Bundle;
  call.mTimeout = mOptions.mCallTimeout;
  mCallIsWatch = mPosition.has_value();
  if (mCallIsWatch) {
    call.mOperation = WatchObjects{ std::string(kHeadKey), *mPosition, mOptions.mWatchWait };
    call.mTimeout += mOptions.mWatchWait;
  } else {
    call.mOperation = ListObjects{ std::string(kHeadKey) };
  }
  mCallId = aId;
  mSentAt = aNow;
  mDeadline = aNow + call.mTimeout * kDeadlineFactor;
  return call;
}

std::optional<HeadSighting> HeadWatch::OnReply(const ObjectReply& aReply, TimePoint aNow)
{
  if (mCallId != aReply.mId) {
    return std::nullopt;
  }
  if (aReply.mStatus != ObjectStatus::Ok) {
    return Fail(aNow);
  }
  mCallId.reset();
  mFailing = false;
  mDelay.Reset();
  mPosition = aReply.mPosition;
  mNextAt = aNow + mDelay.Uniform(mOptions.mRearmJitter);
  return ReadReply(aReply, mCallIsWatch);
}

HeadSighting HeadWatch::ReadReply(const ObjectReply& aReply, bool aWatched) const
{
  HeadSighting sighting;
  sighting.mSentAt = mSentAt;
  sighting.mWatched = aWatched;
  sighting.mAbsent = !aWatched;
  for (const auto& it : aReply.mEntries) {
    if (it.mKey != kHeadKey) {
      continue;
    }
    sighting.mAbsent = it.mDeleted;
    sighting.mChanged = !it.mDeleted;
    sighting.mBody = it.mBody;
  }
  return sighting;
}

HeadSighting HeadWatch::Fail(TimePoint aNow)
{
  mCallId.reset();
  mPosition.reset();
  mFailing = true;
  mNextAt = aNow + mDelay.NextAfterFailure();
  HeadSighting sighting;
  sighting.mSentAt = mSentAt;
  sighting.mFailed = true;
  return sighting;
}

void HeadWatch::Restart(TimePoint aNow)
{
  mCallId.reset();
  mPosition.reset();
  mNextAt = aNow;
}

} // namespace skylarkchute
