#include "GroundTruth.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace skylarkchute {

namespace {

constexpr double kErrorRate = 0.004;
constexpr double kTimeoutRate = 0.001;
constexpr double kBadErrorRate = 0.6;
constexpr double kBadTimeoutRate = 0.6;
constexpr double kBadQualityDrop = 0.3;
constexpr double kBadLatencyFactor = 3;
constexpr double kCheapQualityDrop = 0.3;
constexpr double kLowRaterMissShare = 0.33;
constexpr double kSlowEndpointLatencyFactor = 8;

/** Hashed into each draw, so that the draws of one number are independent. */
enum Purpose : std::uint64_t
{
  QualityDraw = 1,
  ErrorDraw,
  TimeoutDraw,
  RatingDraw,
};

/** Maps the upper 53 bits of a hash to [0, 1). */
double ToUnit(std::uint64_t aHash)
{
  return static_cast<double>(aHash >> 11U) * 0x1.0p-53;
}

} // namespace

double GroundTruth::Draw(std::uint64_t aNumber, std::uint64_t aPurpose) const
{
  const std::array<std::uint64_t, 2> numbers{ aNumber, aPurpose };
  const std::string_view bytes(reinterpret_cast<const char*>(numbers.data()), sizeof(numbers));
  return ToUnit(StableHash(bytes, mSeed));
}

bool GroundTruth::IsAffectedByBadVersion(const AttemptFacts& aFacts,
                                         std::chrono::microseconds aElapsed) const
{
  const bool isRolling = aFacts.mVersion && aFacts.mVersion->Value() == kRollingVersion;
  if (!isRolling || !mFaults.IsBadVersion() || !mFaults.IsActive(mFaults.mKind, aElapsed)) {
    return false;
  }
  switch (mFaults.mKind) {
    case FaultKind::BadTeam:
      return aFacts.mTeam == mWorkload.mTeams[3].mTeam;
    case FaultKind::BadZone:
      return aFacts.mZone == mWorkload.mZones[1];
    default:
      return true;
  }
}

bool GroundTruth::IsGood(const AttemptFacts& aFacts, std::chrono::microseconds aElapsed) const
{
  if (!aFacts.mVersion) {
    return true;
  }
  const auto& load = mWorkload.Class(aFacts.mClass);
  const bool isExpensive = aFacts.mVersion->Value() == kExpensiveVersion;
  double quality = isExpensive ? load.mExpensiveQuality : load.mCheapQuality;
  if (!isExpensive) {
    quality += mWorkload.Team(aFacts.mTeam).mQualityShift;
    quality -= mFaults.IsActive(FaultKind::CheapWorsens, aElapsed) ? kCheapQualityDrop : 0;
  }
  if (mFaults.mKind == FaultKind::BadQuality && IsAffectedByBadVersion(aFacts, aElapsed)) {
    quality -= kBadQualityDrop;
  }
  return Draw(aFacts.mRequestNumber, QualityDraw) < quality;
}

AttemptBehavior GroundTruth::BehaviorOf(const AttemptFacts& aFacts,
                                        std::chrono::microseconds aElapsed) const
{
  AttemptBehavior behavior;
  double errors = kErrorRate;
  double timeouts = aFacts.mVersion ? kTimeoutRate : 0;
  if (IsAffectedByBadVersion(aFacts, aElapsed)) {
    const auto kind = mFaults.mKind;
    const bool fails =
      kind == FaultKind::BadErrors || kind == FaultKind::BadTeam || kind == FaultKind::BadZone;
    errors = fails ? kBadErrorRate : errors;
    timeouts = kind == FaultKind::BadTimeouts ? kBadTimeoutRate : timeouts;
    behavior.mLatencyFactor = kind == FaultKind::BadLatency ? kBadLatencyFactor : 1;
  }
  if (mFaults.IsActive(FaultKind::AllFail, aElapsed)) {
    errors = 1;
  }
  const auto& first = mWorkload.mEndpoints.front().mRecord.mId;
  if (mFaults.IsActive(FaultKind::SlowEndpoint, aElapsed) && aFacts.mEndpoint == first) {
    behavior.mLatencyFactor *= kSlowEndpointLatencyFactor;
  }
  const auto number = aFacts.mRequestNumber * 64 + aFacts.mAttemptNumber;
  behavior.mError = Draw(number, ErrorDraw) < errors;
  behavior.mHangs = !behavior.mError && Draw(number, TimeoutDraw) < timeouts;
  return behavior;
}

double GroundTruth::Rating(bool aGood,
                           std::uint64_t aRequestNumber,
                           std::chrono::microseconds aElapsed) const
{
  if (mFaults.IsActive(FaultKind::RaterHigh, aElapsed)) {
    return 1;
  }
  if (mFaults.IsActive(FaultKind::RaterLow, aElapsed) && aGood) {
    return Draw(aRequestNumber, RatingDraw) < kLowRaterMissShare ? 0 : 1;
  }
  return aGood ? 1 : 0;
}

} // namespace skylarkchute
