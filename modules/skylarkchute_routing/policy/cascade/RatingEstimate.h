#pragma once

#include <cstdint>

namespace skylarkchute {

/** Estimates the share of good ratings of one model in one class and detects changes of it.

    The estimate is the mean over a long window, which is compared with a short one. A drop takes
    effect at once, because an estimate that is too low does not endanger the quality target. A rise
    above the accepted level is reported as suspicious and ignored, because a biased rating service
    may cause it. The accepted level follows the ratings slowly and does not follow a drop. */
class RatingEstimate
{
public:
  /** How ratings above the accepted level are treated. */
  enum class RisePolicy
  {
    Ignore, /**< Not counted until AcceptLevel is called. */
    Accept, /**< Counted like any other ratings. */
  };

  /** @param aPrior  expected share of good ratings before any rating, 0 to 1 */
  explicit RatingEstimate(double aPrior, RisePolicy aRisePolicy = RisePolicy::Ignore);

  /** Adds a batch of @p aRated ratings, @p aGood of them good. Batches must be added in order of
      arrival. */
  void Add(std::uint64_t aRated, std::uint64_t aGood);

  /** Returns the estimated share of good answers, 0 to 1. */
  double Mean() const;

  /** Returns a lower confidence bound of the share of good answers, 0 to 1. */
  double LowerBound() const;

  /** Returns whether recent ratings are significantly above the accepted level. */
  bool IsSuspicious() const { return mSuspicious; }

  /** Resets the estimate and the accepted level to the recent ratings. */
  void AcceptLevel();

  /** Returns the weight of the long window, in ratings, including the prior. */
  double Weight() const { return mLong.mRated; }

private:
  struct Window
  {
    double mRated = 0;
    double mGood = 0;

    void Add(double aGood, double aWindowRatings);
    double Mean() const { return mRated > 0 ? mGood / mRated : 0; }
  };

  void AddOne(bool aGood);
  bool HasDroppedBelow(const Window& aWindow) const;
  bool HasRisen() const;
  double ShortError(const Window& aWindow) const;

  RisePolicy mRisePolicy;
  Window mLong;
  Window mMedium;
  Window mShort;
  Window mAccepted;
  bool mEstablished = false;
  bool mSuspicious = false;
};

} // namespace skylarkchute
