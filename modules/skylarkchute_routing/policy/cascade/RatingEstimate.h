#pragma once

#include <cstdint>

namespace skylarkchute {

/** Learns the share of good ratings of one model in one class, and tells changes of its level.

    A long window gives the estimate. A short one is compared with it: a fall is believed at once,
    since that is safe for quality. A rise above the accepted level, which follows ratings only
    slowly and never during a fall, is held back, since it may come from a biased rater. */
class RatingEstimate
{
public:
  /** What to do with ratings above the accepted level. */
  enum class RiseRule
  {
    Hold,    /**< Learn nothing from them until AcceptLevel. */
    Believe, /**< Learn from them like from any other. */
  };

  /** @param aPrior  expected share before any rating, 0 to 1 */
  explicit RatingEstimate(double aPrior, RiseRule aRiseRule = RiseRule::Hold);

  /** Counts ratings in the order they came. */
  void Add(std::uint64_t aRated, std::uint64_t aGood);

  /** Returns the expected share of good answers. */
  double Mean() const;

  /** Returns a lower confidence bound of the share of good answers. */
  double LowerBound() const;

  /** Returns whether recent ratings lie above the accepted level. */
  bool IsSuspicious() const { return mSuspicious; }

  /** Accepts the level of the recent ratings. */
  void AcceptLevel();

  /** Returns the number of ratings in the long window. */
  double Weight() const { return mLong.mRated; }

private:
  struct Window
  {
    double mRated = 0;
    double mGood = 0;

    void Add(double aGood, double aSpan);
    double Mean() const { return mRated > 0 ? mGood / mRated : 0; }
  };

  void AddOne(bool aGood);
  bool IsFallBelow(const Window& aWindow) const;
  bool IsRise() const;
  double ShortError(const Window& aWindow) const;

  RiseRule mRiseRule;
  Window mLong;
  Window mMedium;
  Window mShort;
  Window mAccepted;
  bool mEstablished = false;
  bool mSuspicious = false;
};

} // namespace skylarkchute
