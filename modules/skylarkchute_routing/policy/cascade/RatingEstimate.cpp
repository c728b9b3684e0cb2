#include "RatingEstimate.h"

#include <algorithm>
#include <cmath>

namespace skylarkchute {

namespace {

constexpr double kPriorRatings = 20;
constexpr double kLongSpan = 600;
constexpr double kAcceptedSpan = 4000;
constexpr double kShortSpan = 40;
/** Ratings from which a level counts as established and changes of it are looked for. */
constexpr double kEstablished = 120;
constexpr double kShortMinimum = 15;
constexpr double kChangeDeviations = 3;
constexpr double kLeastRise = 0.06;
constexpr double kBoundDeviations = 1.3;

double StandardError(double aMean, double aRated)
{
  const double mean = std::clamp(aMean, 0.02, 0.98);
  return std::sqrt(mean * (1 - mean) / std::max(aRated, 1.0));
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
  return std::max(0.0, Mean() - kBoundDeviations * StandardError(Mean(), mLong.mRated));
}

void RatingEstimate::AcceptLevel()
{
  mLong = mShort;
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
  if (!mEstablished) {
    mAccepted.Add(good, kAcceptedSpan);
    return;
  }
  if (IsFallBelow(mLong)) {
    mLong = mShort;
  }
  if (!IsFallBelow(mAccepted)) {
    mAccepted.Add(good, kAcceptedSpan);
  }
}

bool RatingEstimate::IsFallBelow(const Window& aWindow) const
{
  return mShort.mRated >= kShortMinimum &&
         mShort.Mean() < aWindow.Mean() - kChangeDeviations * ShortError(aWindow);
}

bool RatingEstimate::IsRise() const
{
  const double rise = mShort.Mean() - mAccepted.Mean();
  return mShort.mRated >= kShortMinimum && rise > kLeastRise &&
         rise > kChangeDeviations * ShortError(mAccepted);
}

double RatingEstimate::ShortError(const Window& aWindow) const
{
  // An exponential window of weight n is as exact as the mean of 2 n ratings.
  return StandardError(aWindow.Mean(), 2 * mShort.mRated);
}

} // namespace skylarkchute
