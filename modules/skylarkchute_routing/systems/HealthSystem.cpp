#include "HealthSystem.h"

namespace skylarkchute {

namespace {

bool IsHealthSample(AttemptEnd aEnd)
{
  return aEnd == AttemptEnd::Complete || aEnd == AttemptEnd::Failed || aEnd == AttemptEnd::Broken ||
         aEnd == AttemptEnd::TimedOut;
}

} // namespace

void HealthSystem::ApplyBundle()
{
  std::map<RollName, Roll> rolls;
  for (const auto& it : mTables.mBundle->mRolls) {
    const auto known = mRolls.find(it.mName);
    const bool isSame = known != mRolls.end() && known->second.mPlan.mFrom == it.mFrom &&
                        known->second.mPlan.mTo == it.mTo;
    if (isSame) {
      rolls.insert(*known);
      continue;
    }
    VersionHealth::Options options;
    options.mThresholds = it.mThresholds;
    rolls.insert({ it.mName, { it, VersionHealth(it.mFrom, it.mTo, options), {} } });
  }
  mRolls.swap(rolls);
}

void HealthSystem::OnAttemptEnd(const RequestRow& aRow,
                                const AttemptRow& aAttempt,
                                const ZoneName& aZone,
                                const AttemptOutcome& aOutcome,
                                TimePoint aNow)
{
  if (!aAttempt.mVersion || !IsHealthSample(aOutcome.mEnd)) {
    return;
  }
  HealthAttempt attempt;
  attempt.mVersion = *aAttempt.mVersion;
  attempt.mClass = aRow.mFacts.mClass;
  attempt.mTeam = aRow.mTeam;
  attempt.mZone = aZone;
  attempt.mTimeout = aOutcome.mEnd == AttemptEnd::TimedOut;
  attempt.mError = !attempt.mTimeout && aOutcome.mEnd != AttemptEnd::Complete;
  attempt.mLatency = aOutcome.mLatency;
  for (auto& it : mRolls) {
    auto& roll = it.second;
    roll.mHealth.ObserveAttempt(attempt, aNow);
    if (roll.mPlan.mTo == attempt.mVersion) {
      roll.mBreaker.Report(attempt.mError || attempt.mTimeout, aNow);
    }
  }
}

void HealthSystem::OnRating(const HealthRating& aRating, TimePoint aNow)
{
  for (auto& it : mRolls) {
    it.second.mHealth.ObserveRating(aRating, aNow);
  }
}

void HealthSystem::OnFleetEvidence(const VersionEvidence& aEvidence, TimePoint aNow)
{
  for (auto& it : mRolls) {
    it.second.mHealth.ObserveEvidence(aEvidence, aNow);
  }
}

bool HealthSystem::Allows(const VersionId& aVersion, TimePoint aNow)
{
  for (auto& it : mRolls) {
    if (it.second.mPlan.mTo == aVersion) {
      return it.second.mBreaker.Allows(aNow);
    }
  }
  return true;
}

std::vector<RollVerdict> HealthSystem::Verdicts() const
{
  std::vector<RollVerdict> verdicts;
  for (const auto& [name, roll] : mRolls) {
    const auto verdict = roll.mHealth.Verdict();
    auto condition = VersionCondition::Undecided;
    if (verdict.mState == HealthState::Bad) {
      condition = VersionCondition::Bad;
    } else if (verdict.mState == HealthState::Healthy) {
      condition = VersionCondition::Healthy;
    }
    verdicts.push_back({ name, { condition, verdict.Reason() } });
  }
  return verdicts;
}

std::vector<HealthSystem::BadVersion> HealthSystem::BadVersions() const
{
  std::vector<BadVersion> bad;
  for (const auto& it : mRolls) {
    const auto verdict = it.second.mHealth.Verdict();
    if (verdict.mState == HealthState::Bad) {
      bad.push_back({ it.second.mPlan.mTo, verdict.Reason() });
    }
  }
  return bad;
}

} // namespace skylarkchute
