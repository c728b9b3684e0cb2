#pragma once

#include "../tables/TokenBucket.h"

#include <optional>

namespace skylarkchute {

/** What an endpoint says of itself in the head of an answer. */
struct EndpointNotice
{
  bool mIsLeaving = false;
  /** Requests per second that it takes from all instances together; nothing for no limit. */
  std::optional<double> mLimit = std::nullopt;
  /** The former limit stays in force: the answer names one that cannot be read, or is not valid. */
  bool mKeepsLimit = false;
  /** Time in seconds for which it wants nothing from this instance; nothing if it asks for none. */
  std::optional<double> mPauseSeconds = std::nullopt;
  /** It is brittle: when it rejects more requests than this in a second for want of room, it fails
      for some seconds. Nothing if it is not. */
  std::optional<double> mRejectionLimit = std::nullopt;
  /** Like mKeepsLimit, for mRejectionLimit. */
  bool mKeepsRejectionLimit = false;
  /** How long it stays cold; nothing if the answer does not say. */
  std::optional<std::chrono::milliseconds> mCold = std::nullopt;
};

/** What has changed with a notice. */
struct NoticeChange
{
  bool mBeganToLeave = false;
  bool mPause = false;          /**< The endpoint asked for a pause while none was in force. */
  bool mLimit = false;          /**< The endpoint began to name a limit, or names none any more. */
  bool mRejectionLimit = false; /**< The endpoint began to say that it is brittle, or is no more. */
};

/** The part of an endpoint's limit that one instance may use. @see EndpointLimitShares */
struct EndpointLimitShare
{
  double mFraction = 0; /**< 0 to 1; 0 if other instances use the limit. */
  /** Time between two requests of an instance without a part, to learn whether the limit is still
      named. */
  std::chrono::milliseconds mTrialInterval{ 0 };
  std::chrono::milliseconds mFirstTrialDelay{ 0 }; /**< Differs between the instances. */
};

/** What an endpoint has said of itself to this instance, and whether it permits a request now.
    Performs no I/O. */
class EndpointNotices
{
public:
  /** Longer pauses are cut to this. */
  static constexpr std::chrono::milliseconds kMaxPause{ 60000 };

  /** Time between two requests after a pause, until one of them has been answered. */
  static constexpr std::chrono::milliseconds kResumeInterval{ 250 };

  /** Higher limits are taken for errors and ignored, requests per second. */
  static constexpr double kMaxLimit = 1e6;

  /** Records what an answer says. An endpoint that leaves does so for good. */
  NoticeChange OnNotice(const EndpointNotice& aNotice, TimePoint aNow);

  /** Sets the part of the limit that this instance may use. Has no effect without a limit. */
  void SetShare(const EndpointLimitShare& aShare, TimePoint aNow);

  /** Returns whether a request may be sent. */
  bool Allows(TimePoint aNow);

  /** Records that a request is about to be sent. */
  void OnRequest(TimePoint aNow);

  /** Returns the time until a request may be sent; zero if one may be sent now. */
  std::chrono::milliseconds WaitTime(TimePoint aNow);

  /** Returns whether a pause that the endpoint asked for is in force. */
  bool IsPaused(TimePoint aNow) const { return mPausedUntil && aNow < *mPausedUntil; }

  /** Returns whether the endpoint has said that it leaves. */
  bool IsLeaving() const { return mIsLeaving; }

  /** Returns the limit that the endpoint names, in requests per second, or nothing. */
  std::optional<double> Limit() const { return mLimit; }

  /** Returns the rejections per second that a brittle endpoint survives, or nothing. */
  std::optional<double> RejectionLimit() const { return mRejectionLimit; }

  /** Returns when the endpoint last said anything of itself; the epoch if it never did. */
  TimePoint SaidAt() const { return mSaidAt; }

private:
  bool OnPause(const EndpointNotice& aNotice, TimePoint aNow);
  std::chrono::milliseconds LimitWaitTime(TimePoint aNow);
  bool OnLimit(const EndpointNotice& aNotice, TimePoint aNow);
  bool OnRejectionLimit(const EndpointNotice& aNotice);

  TimePoint mSaidAt{};
  std::optional<double> mRejectionLimit;
  bool mIsLeaving = false;
  std::optional<double> mLimit;
  std::optional<TimePoint> mPausedUntil; /**< Set until a request was answered after the pause. */
  TimePoint mResumeAt{};                 /**< When the next request after the pause may be sent. */
  std::optional<EndpointLimitShare> mShare;
  TokenBucket mBucket;
  TimePoint mTrialAt{}; /**< When an instance without a part may send a request. */
};

} // namespace skylarkchute
