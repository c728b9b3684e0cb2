#include "EndpointNotices.h"

namespace skylarkchute {

using std::chrono::milliseconds;

NoticeChange EndpointNotices::OnNotice(const EndpointNotice& aNotice, TimePoint aNow)
{
  NoticeChange change;
  change.mBeganToLeave = aNotice.mIsLeaving && !mIsLeaving;
  mIsLeaving = mIsLeaving || aNotice.mIsLeaving;
  change.mPause = OnPause(aNotice, aNow);
  change.mLimit = OnLimit(aNotice, aNow);
  change.mRejectionLimit = OnRejectionLimit(aNotice);
  mSaidAt = aNow;
  return change;
}

/** @returns whether the endpoint began to say that it is brittle, or is no more */
bool EndpointNotices::OnRejectionLimit(const EndpointNotice& aNotice)
{
  const auto& limit = aNotice.mRejectionLimit;
  if (aNotice.mKeepsRejectionLimit || (limit && (*limit < 0 || *limit > kMaxLimit))) {
    return false;
  }
  const bool hadLimit = mRejectionLimit.has_value();
  mRejectionLimit = limit;
  return hadLimit != limit.has_value();
}

/** @returns whether the endpoint asks for a pause while none is in force */
bool EndpointNotices::OnPause(const EndpointNotice& aNotice, TimePoint aNow)
{
  const bool isPausing = IsPaused(aNow);
  const auto seconds = aNotice.mPauseSeconds.value_or(0);
  if (seconds > 0) {
    const auto pause = std::chrono::ceil<milliseconds>(std::chrono::duration<double>(
      std::min(seconds, std::chrono::duration<double>(kMaxPause).count())));
    mPausedUntil = std::max(mPausedUntil.value_or(aNow), aNow + pause);
    return !isPausing;
  }
  // Answers to requests that were under way when the pause began say nothing of its end.
  if (!isPausing) {
    mPausedUntil.reset();
  }
  return false;
}

/** @returns whether the endpoint began to name a limit, or names none any more */
bool EndpointNotices::OnLimit(const EndpointNotice& aNotice, TimePoint aNow)
{
  const auto& limit = aNotice.mLimit;
  if (aNotice.mKeepsLimit || (limit && (*limit < 0 || *limit > kMaxLimit))) {
    return false;
  }
  const bool hadLimit = mLimit.has_value();
  mLimit = limit;
  if (!hadLimit) {
    mShare.reset();
    mBucket = TokenBucket{};
  } else if (mShare) {
    SetShare(*mShare, aNow);
  }
  return hadLimit != limit.has_value();
}

void EndpointNotices::SetShare(const EndpointLimitShare& aShare, TimePoint aNow)
{
  if (!mLimit) {
    return;
  }
  const bool isNew = !mShare;
  mBucket.SetRate(*mLimit * aShare.mFraction, aNow);
  if (isNew) {
    // What was sent before the limit was known counts against it.
    mBucket.Empty();
    mTrialAt = aNow + aShare.mFirstTrialDelay;
  }
  mShare = aShare;
}

bool EndpointNotices::Allows(TimePoint aNow)
{
  return WaitTime(aNow) <= milliseconds(0);
}

milliseconds EndpointNotices::WaitTime(TimePoint aNow)
{
  const auto permittedAt = mPausedUntil ? std::max(*mPausedUntil, mResumeAt) : aNow;
  const auto pause = std::chrono::ceil<milliseconds>(permittedAt - aNow);
  return std::max(pause, LimitWaitTime(aNow));
}

milliseconds EndpointNotices::LimitWaitTime(TimePoint aNow)
{
  if (!mLimit || !mShare) {
    return milliseconds(0);
  }
  if (mShare->mFraction <= 0 || *mLimit <= 0) {
    return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(mTrialAt - aNow));
  }
  return mBucket.Has(1, aNow) ? milliseconds(0) : mBucket.Wait(1);
}

void EndpointNotices::OnRequest(TimePoint aNow)
{
  if (mPausedUntil) {
    mResumeAt = aNow + kResumeInterval;
  }
  if (!mLimit || !mShare) {
    return;
  }
  mBucket.Take(1);
  mTrialAt = aNow + mShare->mTrialInterval;
}

} // namespace skylarkchute
