#include "AdmissionThrottle.h"

#include <algorithm>
#include <cmath>

namespace skylarkchute {

namespace {

/** While all samples are congested, the share shrinks by a factor of e in 1 / R seconds, where R is
    kShrinkRate + kShrinkPerLimit / limit. Otherwise it grows by kGrowthRate in a second. */
constexpr double kShrinkRate = 2;
constexpr double kShrinkPerLimit = 12;
constexpr double kGrowthRate = 0.2;

/** Added to the exponent of the share with each rank. */
constexpr double kRankExponent = 0.5;

/** Least share, so that there are samples. */
constexpr double kMinShare = 0.1;

/** What exceeds a share of 1 is a reserve, so that a single congested sample has little effect. */
constexpr double kMaxShare = 1.5;

/** A sample that is congested, or not, speaks for at most this time before it. */
constexpr std::chrono::duration<double> kMaxCongestedTime{ 0.3 };
constexpr std::chrono::duration<double> kMaxClearTime{ 3.0 };

} // namespace

void AdmissionThrottle::OnSample(bool aIsCongested, double aLimit, TimePoint aNow)
{
  const auto time = std::min<std::chrono::duration<double>>(
    aNow - mSampledAt, aIsCongested ? kMaxCongestedTime : kMaxClearTime);
  mSampledAt = aNow;
  mShare =
    aIsCongested
      ? mShare * std::exp(-(kShrinkRate + kShrinkPerLimit / std::max(aLimit, 1.0)) * time.count())
      : mShare + kGrowthRate * time.count();
  mShare = std::clamp(mShare, kMinShare, kMaxShare);
}

void AdmissionThrottle::OnRoomLost(double aPart)
{
  mShare = std::max(kMinShare, std::min(mShare, 1.0) * (1 - aPart));
}

double AdmissionThrottle::Share(std::size_t aRank) const
{
  const double exponent = 1 + kRankExponent * static_cast<double>(aRank);
  return std::max(kMinShare, std::pow(std::min(mShare, 1.0), exponent));
}

std::chrono::milliseconds AdmissionThrottle::RecoveryTime() const
{
  return std::chrono::ceil<std::chrono::milliseconds>(
    std::chrono::duration<double>(std::max(0.0, 1 - mShare) / kGrowthRate));
}

} // namespace skylarkchute
