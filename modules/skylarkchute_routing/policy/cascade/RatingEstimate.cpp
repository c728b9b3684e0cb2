#include "RatingEstimate.h"

#include <algorithm>
#include <cmath>

namespace skylarkchute {

namespace {

constexpr double kPriorRatings = 12;
constexpr double kLongSpan = 2000;
constexpr double kMediumSpan = 300;
constexpr double kAcceptedSpan = 4000;
constexpr double kShortSpan = 40;
/** Ratings from which a level counts as established and changes of it are looked for. */
constexpr double kEstablished = 120;
constexpr double kShortMinimum = 15;
constexpr double kFallDeviations = 4;
constexpr double kRiseDeviations = 3;
constexpr double kLeastRise = 0.06;
constexpr double kBoundDeviations = 1.6;

/** Returns the standard error of the mean of an exponential window. At full weight it is as exact
   as the mean of twice as many ratings; a young one counts by its weight. */
double StandardError(double aMean, double aRated, double aSpan)
{
  const double mean = std::clamp(aMean, 0.02, 0.98);
  const double rated = std::max(aRated, 1.0) * 2 / (2 - std::min(aRated / aSpan, 1.0));
  return std::sqrt(mean * (1 - mean) / rated);
}

} // namespace

RatingEstimate::RatingEstimate(double aPrior, RiseRule aRiseRule) : mRiseRule(aRiseRule)
{
  mLong.mRated = kPriorRatings;
  mLong.mGood = kPriorRatings * std::clamp(aPrior, 0.0, 1.0);
}

void RatingEstimate::Window::Add(double aGood, double aSpan)
{
  const double keep = 1 - 1 / aSpan;
  mRated = mRated * keep + 1;
  mGood = mGood * keep + aGood;
}

void RatingEstimate::Add(std::uint64_t aRated, std::uint64_t aGood)
{
  // Spreads the good ratings evenly over the batch.
  std::uint64_t given = 0;
  for (std::uint64_t n = 1; n <= aRated; ++n) {
    const std::uint64_t due = aGood * n / aRated;
    AddOne(due > given);
    given = due;
  }
}

double RatingEstimate::Mean() const
{
  return mLong.Mean();
}

double RatingEstimate::LowerBound() const
{
  return std::max(0.0, Mean() - kBoundDeviations * StandardError(Mean(), mLong.mRated, kLongSpan));
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
  mShort.Add(good, kShortSpan);
  mEstablished = mEstablished || mAccepted.mRated >= kEstablished;
  mSuspicious = mRiseRule == RiseRule::Hold && mEstablished && IsRise();
  if (mSuspicious) {
    mLong.mGood = std::min(mLong.mGood, mLong.mRated * mAccepted.Mean());
    return;
  }
  mLong.Add(good, kLongSpan);
  mMedium.Add(good, kMediumSpan);
  if (!mEstablished) {
    mAccepted.Add(good, kAcceptedSpan);
    return;
  }
  const double mediumError = StandardError(mLong.Mean(), mMedium.mRated, kMediumSpan);
  if (IsFallBelow(mLong)) {
    mLong = mShort;
    mMedium = mShort;
  } else if (mMedium.Mean() < mLong.Mean() - kFallDeviations * mediumError) {
    mLong = mMedium;
  }
  if (!IsFallBelow(mAccepted)) {
    mAccepted.Add(good, kAcceptedSpan);
  }
}

bool RatingEstimate::IsFallBelow(const Window& aWindow) const
{
  return mShort.mRated >= kShortMinimum &&
         mShort.Mean() < aWindow.Mean() - kFallDeviations * ShortError(aWindow);
}

bool RatingEstimate::IsRise() const
{
  const double rise = mShort.Mean() - mAccepted.Mean();
  return mShort.mRated >= kShortMinimum && rise > kLeastRise &&
         rise > kRiseDeviations * ShortError(mAccepted);
}

double RatingEstimate::ShortError(const Window& aWindow) const
{
  return StandardError(aWindow.Mean(), mShort.mRated, kShortSpan);
}

} // namespace skylarkchute
