#include "Truth.h"

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
constexpr double kBadSlowness = 3;
constexpr double kWorseQualityDrop = 0.3;
constexpr double kLowRaterMiss = 0.33;
constexpr double kSlowEndpoint = 8;

enum Purpose : std::uint64_t
{
  QualityDraw = 1,
  ErrorDraw,
  TimeoutDraw,
  RatingDraw,
};

/** A draw between 0 and 1 from the hash's upper bits. */
double ToUnit(std::uint64_t aHash)
{
  return static_cast<double>(aHash >> 11U) * 0x1.0p-53;
}

} // namespace

double Truth::Draw(std::uint64_t aNumber, std::uint64_t aPurpose) const
{
  const std::array<std::uint64_t, 2> numbers{ aNumber, aPurpose };
  const std::string_view bytes(reinterpret_cast<const char*>(numbers.data()), sizeof(numbers));
  return ToUnit(StableHash(bytes, mSeed));
}

bool Truth::IsHitByBadVersion(const AttemptFacts& aFacts, std::chrono::microseconds aElapsed) const
{
  const bool isRolling = aFacts.mVersion && aFacts.mVersion->Value() == kRollingVersion;
  if (!isRolling || !mFaults.IsBadVersion() || !mFaults.Has(mFaults.mKind, aElapsed)) {
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

bool Truth::IsGood(const AttemptFacts& aFacts, std::chrono::microseconds aElapsed) const
{
  if (!aFacts.mVersion) {
    return true;
  }
  const auto& load = mWorkload.Class(aFacts.mClass);
  const bool isDear = aFacts.mVersion->Value() == kDearVersion;
  double quality = isDear ? load.mDearQuality : load.mCheapQuality;
  if (!isDear) {
    quality += mWorkload.Team(aFacts.mTeam).mQualityShift;
    quality -= mFaults.Has(FaultKind::CheapWorsens, aElapsed) ? kWorseQualityDrop : 0;
  }
  if (mFaults.mKind == FaultKind::BadQuality && IsHitByBadVersion(aFacts, aElapsed)) {
    quality -= kBadQualityDrop;
  }
  return Draw(aFacts.mRequestNumber, QualityDraw) < quality;
}

AttemptFate Truth::Fate(const AttemptFacts& aFacts, std::chrono::microseconds aElapsed) const
{
  AttemptFate fate;
  double errors = kErrorRate;
  double timeouts = aFacts.mVersion ? kTimeoutRate : 0;
  if (IsHitByBadVersion(aFacts, aElapsed)) {
    const auto kind = mFaults.mKind;
    const bool fails =
      kind == FaultKind::BadErrors || kind == FaultKind::BadTeam || kind == FaultKind::BadZone;
    errors = fails ? kBadErrorRate : errors;
    timeouts = kind == FaultKind::BadTimeouts ? kBadTimeoutRate : timeouts;
    fate.mSlowness = kind == FaultKind::BadLatency ? kBadSlowness : 1;
  }
  if (mFaults.Has(FaultKind::AllFail, aElapsed)) {
    errors = 1;
  }
  const auto& first = mWorkload.mEndpoints.front().mRecord.mId;
  if (mFaults.Has(FaultKind::SlowEndpoint, aElapsed) && aFacts.mEndpoint == first) {
    fate.mSlowness *= kSlowEndpoint;
  }
  const auto number = aFacts.mRequestNumber * 64 + aFacts.mAttemptNumber;
  fate.mError = Draw(number, ErrorDraw) < errors;
  fate.mHangs = !fate.mError && Draw(number, TimeoutDraw) < timeouts;
  return fate;
}

double Truth::Rating(bool aGood,
                     std::uint64_t aRequestNumber,
                     std::chrono::microseconds aElapsed) const
{
  if (mFaults.Has(FaultKind::RaterHigh, aElapsed)) {
    return 1;
  }
  if (mFaults.Has(FaultKind::RaterLow, aElapsed) && aGood) {
    return Draw(aRequestNumber, RatingDraw) < kLowRaterMiss ? 0 : 1;
  }
  return aGood ? 1 : 0;
}

} // namespace skylarkchute
