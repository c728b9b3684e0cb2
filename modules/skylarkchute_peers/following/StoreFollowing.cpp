#include "StoreFollowing.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

/** How long a place of a follower must be vacant before it is taken, so that a change of roles that
    is still on its way is heard of first. */
constexpr milliseconds kTakeOverDelay{ 600 };

/** How long enough others must be following before an instance stops. */
constexpr milliseconds kStopDelay{ 3000 };

/** Mean time between two trials of the whole fleet while nobody is known to be served. */
constexpr milliseconds kTrialInterval{ 500 };

std::size_t CountRole(const std::vector<const MemberUpdate*>& aOthers, StoreRole aRole)
{
  return static_cast<std::size_t>(
    std::count_if(aOthers.begin(), aOthers.end(), [aRole](const MemberUpdate* aOther) {
      return aOther->mRole == aRole && aOther->mState == MemberState::Alive;
    }));
}

std::uint64_t PreferenceOf(const MemberRecord& aRecord)
{
  return StableHash(aRecord.mName, StableHash(aRecord.mIncarnation));
}

/** Sets a time to a later one. */
void RaiseTo(std::optional<TimePoint>& aTime, TimePoint aLater)
{
  aTime = aTime ? std::max(*aTime, aLater) : aLater;
}

std::optional<milliseconds> AgeOf(const std::optional<TimePoint>& aTime, TimePoint aNow)
{
  return aTime ? std::optional(std::chrono::duration_cast<milliseconds>(aNow - *aTime))
               : std::nullopt;
}

/** Returns whether a condition has held for a time; keeps since when it holds. */
bool HasHeldFor(std::optional<TimePoint>& aSince, bool aHolds, milliseconds aTime, TimePoint aNow)
{
  if (!aHolds) {
    aSince.reset();
    return false;
  }
  if (!aSince) {
    aSince = aNow;
  }
  return aNow - *aSince >= aTime;
}

} // namespace

StoreFollowing::StoreFollowing(MemberRecord aSelf,
                               bool aIsContact,
                               std::uint64_t aSeed,
                               TimePoint aNow)
  : mSelf(std::move(aSelf))
  , mRole(aIsContact ? StoreRole::Follows : StoreRole::None)
  , mWaitsSince(aNow)
  , mLastDecision(aNow)
  , mRandom(static_cast<std::minstd_rand::result_type>(aSeed % 2147483646U + 1))
{
}

void StoreFollowing::OnStoreResult(bool aIsServed, TimePoint aAnsweredAt)
{
  if (aIsServed) {
    RaiseTo(mConfirmedAt, aAnsweredAt);
    RaiseTo(mServedAt, aAnsweredAt);
  }
  if (mRole != StoreRole::None) {
    mRole = aIsServed ? StoreRole::Follows : StoreRole::Fails;
    mHasFailed = !aIsServed;
  }
}

void StoreFollowing::OnConfirmation(milliseconds aAge, TimePoint aNow)
{
  RaiseTo(mConfirmedAt, aNow - std::max(aAge, milliseconds(0)));
}

void StoreFollowing::OnServed(milliseconds aAge, TimePoint aNow)
{
  RaiseTo(mServedAt, aNow - std::max(aAge, milliseconds(0)));
}

std::optional<milliseconds> StoreFollowing::ConfirmationAge(TimePoint aNow) const
{
  return AgeOf(mConfirmedAt, aNow);
}

std::optional<milliseconds> StoreFollowing::ServedAge(TimePoint aNow) const
{
  return AgeOf(mServedAt, aNow);
}

StoreRole StoreFollowing::Decide(const std::vector<const MemberUpdate*>& aOthers, TimePoint aNow)
{
  if (mRole == StoreRole::None) {
    if (ShouldStart(aOthers, aNow)) {
      mRole = StoreRole::Fails;
      mHasFailed = false;
      mVacantSince.reset();
    }
  } else if (ShouldStop(aOthers, aNow)) {
    mRole = StoreRole::None;
    mRedundantSince.reset();
  }
  mLastDecision = aNow;
  return mRole;
}

bool StoreFollowing::ShouldStart(const std::vector<const MemberUpdate*>& aOthers, TimePoint aNow)
{
  if (aNow - mWaitsSince < kStartupWait) {
    return false;
  }
  const auto following = CountRole(aOthers, StoreRole::Follows);
  const auto failing = CountRole(aOthers, StoreRole::Fails);
  const bool isVacant = following < kFollowers && failing < kMaxFailing &&
                        RankToStart(aOthers) < kFollowers - following;
  if (HasHeldFor(mVacantSince, isVacant, kTakeOverDelay, aNow)) {
    return true;
  }
  const auto age = ConfirmationAge(aNow);
  if (age && *age >= kStandbyTimeout && following > 0 && RankToStart(aOthers) < kFollowers) {
    return true;
  }
  if (IsIsolated(aNow) && (!age || *age >= kIsolationTimeout)) {
    return true;
  }
  const bool isBlind = !age || *age >= kBlindTimeout;
  return isBlind && IsTrialDue(aOthers.size() + 1, aNow);
}

std::vector<std::string> StoreFollowing::FollowersToCall(
  const std::vector<const MemberUpdate*>& aOthers) const
{
  std::vector<std::string> names;
  if (mRole != StoreRole::None || RankToStart(aOthers) >= kFollowers) {
    return names;
  }
  for (const auto* it : aOthers) {
    if (it->mRole == StoreRole::Follows) {
      names.push_back(it->mRecord.mName);
    }
  }
  return names;
}

/** Returns whether no other instance reaches this one. What it believes of them is out of date
   then: they count as live until each has failed to answer, so it would wait for followers that it
   does not hear, and for its turn among all of them. */
bool StoreFollowing::IsIsolated(TimePoint aNow) const
{
  return aNow - std::max(mHeardAt, mWaitsSince) >= kIsolationTimeout;
}

/** Returns whether a trial of this instance is due, so that the fleet makes one each
    kTrialInterval. */
bool StoreFollowing::IsTrialDue(std::size_t aInstances, TimePoint aNow)
{
  const double share = std::chrono::duration<double>(aNow - mLastDecision) /
                       (std::chrono::duration<double>(kTrialInterval) * aInstances);
  return std::uniform_real_distribution<double>(0, 1)(mRandom) < share;
}

/** Returns this instance's place in the order in which instances become followers: those of zones
    without a follower first. */
std::size_t StoreFollowing::RankToStart(const std::vector<const MemberUpdate*>& aOthers) const
{
  std::set<std::string> zones;
  for (const auto* it : aOthers) {
    if (it->mRole == StoreRole::Follows) {
      zones.insert(it->mRecord.mZone);
    }
  }
  const auto keyOf = [&zones](const MemberRecord& aRecord) {
    return std::tuple(zones.count(aRecord.mZone), PreferenceOf(aRecord), aRecord.mName);
  };
  const auto own = keyOf(mSelf);
  return static_cast<std::size_t>(
    std::count_if(aOthers.begin(), aOthers.end(), [&](const MemberUpdate* aOther) {
      return aOther->mRole == StoreRole::None && aOther->mState == MemberState::Alive &&
             keyOf(aOther->mRecord) < own;
    }));
}

bool StoreFollowing::ShouldStop(const std::vector<const MemberUpdate*>& aOthers, TimePoint aNow)
{
  const auto own = PreferenceOf(mSelf);
  std::size_t failing = 0;
  std::size_t following = 0;
  for (const auto* it : aOthers) {
    if (it->mState != MemberState::Alive) {
      continue;
    }
    const bool isPreferred = PreferenceOf(it->mRecord) < own;
    failing += it->mRole == StoreRole::Fails && isPreferred ? 1 : 0;
    following +=
      it->mRole == StoreRole::Follows && (isPreferred || mRole == StoreRole::Fails) ? 1 : 0;
  }
  const bool isTrialOver = mRole == StoreRole::Fails && mHasFailed && failing >= kMaxFailing;
  return isTrialOver || HasHeldFor(mRedundantSince, following >= kFollowers, kStopDelay, aNow);
}

} // namespace skylarkchute
