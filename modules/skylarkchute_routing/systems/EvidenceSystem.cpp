#include "EvidenceSystem.h"

#include "../events/RoutingEvents.h"

namespace skylarkchute {

namespace {

/** Minimum rating, 0 to 1, that counts as good. */
constexpr double kGoodRating = 0.5;

bool IsError(AttemptEnd aEnd)
{
  return aEnd == AttemptEnd::Failed || aEnd == AttemptEnd::Broken;
}

} // namespace

void EvidenceSystem::OnAttemptEnd(const RequestRow& aRow,
                                  const AttemptRow& aAttempt,
                                  const ZoneName& aZone,
                                  const AttemptOutcome& aOutcome,
                                  TimePoint aNow)
{
  if (!aAttempt.mVersion) {
    return;
  }
  const bool counts = aOutcome.mEnd == AttemptEnd::Complete || IsError(aOutcome.mEnd) ||
                      aOutcome.mEnd == AttemptEnd::TimedOut;
  if (!counts) {
    return;
  }
  auto& evidence = CountsFor({ *aAttempt.mVersion, aRow.mFacts.mClass, aRow.mTeam, aZone });
  ++evidence.mRequests;
  if (IsError(aOutcome.mEnd)) {
    ++evidence.mErrors;
  }
  if (aOutcome.mEnd == AttemptEnd::TimedOut) {
    ++evidence.mTimeouts;
  }
  if (aOutcome.mEnd == AttemptEnd::Complete) {
    evidence.mLatencySum += aOutcome.mLatency;
  }
  mHealth.OnAttemptEnd(aRow, aAttempt, aZone, aOutcome, aNow);
  StopBadVersions();
}

void EvidenceSystem::OnRating(const VersionId& aVersion,
                              const ClassName& aClass,
                              const TeamName& aTeam,
                              double aRating,
                              TimePoint aNow)
{
  const bool good = aRating >= kGoodRating;
  auto& evidence = CountsFor({ aVersion, aClass, aTeam, ZoneName() });
  ++evidence.mRated;
  evidence.mRatedGood += good ? 1 : 0;
  mHealth.OnRating({ aVersion, aTeam, ZoneName(), good }, aNow);
  StopBadVersions();
}

void EvidenceSystem::OnFleetEvidence(const std::vector<VersionEvidence>& aEvidence, TimePoint aNow)
{
  for (const auto& it : aEvidence) {
    mHealth.OnFleetEvidence(it, aNow);
  }
  StopBadVersions();
}

void EvidenceSystem::Stop(const VersionId& aVersion, const std::string& aReason, bool aAlertPeers)
{
  if (!mTables.mVersions.Stop(aVersion)) {
    return;
  }
  mTables.mWaitingChanged = true;
  ++mTables.mCounters.mVersionsStopped;
  mTables.mReports.mEvents.push_back(
    { &kVersionStopped, { { "version", aVersion.Value() }, { "reason", aReason } } });
  if (aAlertPeers) {
    mTables.mReports.mAlerts.push_back({ aVersion, std::nullopt, 0, aReason });
  }
}

std::vector<VersionEvidence> EvidenceSystem::TakeCounts()
{
  std::vector<VersionEvidence> evidence;
  evidence.reserve(mCounts.size());
  for (const auto& it : mCounts) {
    evidence.push_back(it.second);
  }
  mCounts.clear();
  return evidence;
}

void EvidenceSystem::StopBadVersions()
{
  for (const auto& it : mHealth.BadVersions()) {
    Stop(it.mVersion, it.mReason, true);
  }
}

VersionEvidence& EvidenceSystem::CountsFor(const Key& aKey)
{
  auto& evidence = mCounts[aKey];
  evidence.mVersion = aKey.mVersion;
  evidence.mClass = aKey.mClass;
  evidence.mTeam = aKey.mTeam;
  evidence.mZone = aKey.mZone;
  return evidence;
}

} // namespace skylarkchute
