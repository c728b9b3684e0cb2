#include "RatingEstimate.h"

#include <algorithm>
#include <cmath>

namespace skylarkchute {

namespace {

/** Weight of the prior, as an equivalent number of ratings. */
constexpr double kPriorWeightRatings = 12;
/** Lengths of the exponential windows, in ratings. */
constexpr double kLongWindowRatings = 2000;
constexpr double kMediumWindowRatings = 300;
constexpr double kAcceptedWindowRatings = 4000;
constexpr double kShortWindowRatings = 40;
/** Number of ratings at which the level is established; changes are detected only from then on. */
constexpr double kEstablishedRatings = 120;
/** Minimum weight of the short window, in ratings, for detecting a change. */
constexpr double kMinShortRatings = 15;
/** Deviations are in standard errors, kMinRise in share of good ratings. */
constexpr double kDropDeviations = 4;
constexpr double kRiseDeviations = 3;
constexpr double kMinRise = 0.06;
constexpr double kConfidenceDeviations = 1.6;

/** Returns the standard error of the mean of an exponential window. The mean of a full window is as
    accurate as that of twice as many independent ratings; that of a new window is as accurate as
    its weight. */
double StandardError(double aMean, double aRated, double aWindowRatings)
{
  const double mean = std::clamp(aMean, 0.02, 0.98);
  const double rated = std::max(aRated, 1.0) * 2 / (2 - std::min(aRated / aWindowRatings, 1.0));
  return std::sqrt(mean * (1 - mean) / rated);
}

} // namespace

RatingEstimate::RatingEstimate(double aPrior, RisePolicy aRisePolicy) : mRisePolicy(aRisePolicy)
{
  mLong.mRated = kPriorWeightRatings;
  mLong.mGood = kPriorWeightRatings * std::clamp(aPrior, 0.0, 1.0);
}

void RatingEstimate::Window::Add(double aGood, double aWindowRatings)
{
  const double decay = 1 - 1 / aWindowRatings;
  mRated = mRated * decay + 1;
  mGood = mGood * decay + aGood;
}

void RatingEstimate::Add(std::uint64_t aRated, std::uint64_t aGood)
{
  // The order within the batch is unknown; distributes the good ratings evenly over it.
  std::uint64_t previousGood = 0;
  for (std::uint64_t n = 1; n <= aRated; ++n) {
    const std::uint64_t cumulativeGood = aGood * n / aRated;
    AddOne(cumulativeGood > previousGood);
    previousGood = cumulativeGood;
  }
}

double RatingEstimate::Mean() const
{
  return mLong.Mean();
}

double RatingEstimate::LowerBound() const
{
  return std::max(
    0.0, Mean() - kConfidenceDeviations * StandardError(Mean(), mLong.mRated, kLongWindowRatings));
}

void RatingEstimate::AcceptLevel()
{
  mLong = mShort;
  mMedium = mShort;
  mAccepted = mShort;
  mSuspicious = false;
}

void RatingEstimate::AddOne(bool aGood)
{
  const double good = aGood ? 1 : 0;
  mShort.Add(good, kShortWindowRatings);
  mEstablished = mEstablished || mAccepted.mRated >= kEstablishedRatings;
  mSuspicious = mRisePolicy == RisePolicy::Ignore && mEstablished && HasRisen();
  if (mSuspicious) {
    mLong.mGood = std::min(mLong.mGood, mLong.mRated * mAccepted.Mean());
    return;
  }
  mLong.Add(good, kLongWindowRatings);
  mMedium.Add(good, kMediumWindowRatings);
  if (!mEstablished) {
    mAccepted.Add(good, kAcceptedWindowRatings);
    return;
  }
  const double mediumError = StandardError(mLong.Mean(), mMedium.mRated, kMediumWindowRatings);
  if (HasDroppedBelow(mLong)) {
    mLong = mShort;
    mMedium = mShort;
  } else if (mMedium.Mean() < mLong.Mean() - kDropDeviations * mediumError) {
    mLong = mMedium;
  }
  if (!HasDroppedBelow(mAccepted)) {
    mAccepted.Add(good, kAcceptedWindowRatings);
  }
}

bool RatingEstimate::HasDroppedBelow(const Window& aWindow) const
{
  return mShort.mRated >= kMinShortRatings &&
         mShort.Mean() < aWindow.Mean() - kDropDeviations * ShortError(aWindow);
}

bool RatingEstimate::HasRisen() const
{
  const double rise = mShort.Mean() - mAccepted.Mean();
  return mShort.mRated >= kMinShortRatings && rise > kMinRise &&
         rise > kRiseDeviations * ShortError(mAccepted);
}

double RatingEstimate::ShortError(const Window& aWindow) const
{
  return StandardError(aWindow.Mean(), mShort.mRated, kShortWindowRatings);
}

} // namespace skylarkchute
