#include "AttemptSystem.h"

#include "../events/RoutingEvents.h"

#include <algorithm>
#include <cassert>

namespace skylarkchute {

namespace {

/** Endpoints remembered per request, which its retries avoid. */
constexpr std::size_t kMaxTriedEndpoints = 4;
/** Time for which an endpoint that refused an attempt counts as full. */
constexpr std::chrono::milliseconds kRefusalPause{ 100 };
/** Broken responses of an endpoint are counted as one crash while each follows the previous one
    within this time. */
constexpr std::chrono::milliseconds kCrashWindow{ 1000 };

std::string LabelOf(const RouterTables& aTables, const std::optional<VersionId>& aVersion)
{
  const auto* row = aVersion ? aTables.mVersions.Find(*aVersion) : nullptr;
  return row == nullptr ? std::string() : row->mVersion.mLabel;
}

void CountAttempt(RouterCounters& aCounters, AttemptKind aKind)
{
  ++aCounters.mAttempts;
  aCounters.mRetries += aKind == AttemptKind::Retry ? 1 : 0;
  aCounters.mHedges += aKind == AttemptKind::Hedge ? 1 : 0;
  aCounters.mEscalations += aKind == AttemptKind::Escalation ? 1 : 0;
}

} // namespace

DispatchStep AttemptSystem::Open(RequestRow& aRow,
                                 EndpointRow& aEndpoint,
                                 AttemptKind aKind,
                                 TimePoint aNow)
{
  assert(aRow.mLiveAttempts.empty() || aKind == AttemptKind::Hedge);
  const auto number = std::to_string(++aRow.mAttempts);
  const auto& record = aEndpoint.mRecord;
  AttemptRow attempt;
  attempt.mId = AttemptId(aRow.mFacts.mId.Value() + "." + number);
  attempt.mEndpoint = record.mId;
  attempt.mVersion = aRow.mVersion;
  attempt.mStarted = aNow;
  attempt.mHedge = aKind == AttemptKind::Hedge;
  attempt.mWhileSuspect = mQuarantine.IsSuspect(aRow.mFacts.mFingerprint);
  aRow.mLiveAttempts.push_back(attempt);
  mQuarantine.OnOpen(aRow, attempt);
  aRow.mPhase = RequestPhase::Running;
  if (aRow.mTried.size() >= kMaxTriedEndpoints) {
    aRow.mTried.erase(aRow.mTried.begin());
  }
  aRow.mTried.push_back(record.mId);
  ++aEndpoint.mInFlight;
  aEndpoint.mBreaker.OnDispatch(aNow);
  CountAttempt(mTables.mCounters, aKind);
  if (record.mZone != mTables.mOptions.mZone) {
    ++mTables.mCounters.mZoneSpills;
  }

  DispatchStep step;
  step.mRequest = aRow.mFacts.mId;
  step.mAttempt = attempt.mId;
  step.mEndpoint = record.mId;
  step.mAddress = record.mAddress;
  step.mPort = record.mPort;
  step.mVersion = aRow.mVersion;
  step.mLabel = LabelOf(mTables, aRow.mVersion);
  step.mTimeout =
    std::chrono::duration_cast<std::chrono::milliseconds>(aRow.mFacts.mDeadline - aNow);
  step.mHedge = attempt.mHedge;
  step.mEscalation = aKind == AttemptKind::Escalation;
  return step;
}

void AttemptSystem::Close(RequestRow& aRow,
                          const AttemptId& aAttempt,
                          const AttemptOutcome& aOutcome,
                          TimePoint aNow)
{
  const auto* attempt = aRow.FindAttempt(aAttempt);
  assert(attempt != nullptr);
  auto* endpoint = mTables.mEndpoints.Find(attempt->mEndpoint);
  const auto zone = endpoint == nullptr ? ZoneName() : endpoint->mRecord.mZone;
  mQuarantine.OnClose(aRow, *attempt, &aOutcome, aNow);
  mEvidence.OnAttemptEnd(aRow, *attempt, zone, aOutcome, aNow);
  if (endpoint != nullptr) {
    RecordAtEndpoint(aRow, *endpoint, aOutcome, aNow);
  }
  const bool answered =
    aOutcome.mEnd == AttemptEnd::Complete || aOutcome.mEnd == AttemptEnd::Rejected;
  mTables.mClasses.Get(aRow.mFacts.mClass).mBudget.OnOutcome(!answered);
  if (aOutcome.mVerdict != Verdict::NotRun) {
    mTables.mPools.Get(aRow.mPool).mDrainRate.Add(1, aNow);
  }
  aRow.mWorstVerdict = WorseVerdict(aRow.mWorstVerdict, aOutcome.mVerdict);
  std::erase_if(aRow.mLiveAttempts, [&](const AttemptRow& aIt) { return aIt.mId == aAttempt; });
}

void AttemptSystem::Release(RequestRow& aRow, const AttemptId& aAttempt, TimePoint aNow)
{
  const auto* attempt = aRow.FindAttempt(aAttempt);
  assert(attempt != nullptr);
  mQuarantine.OnClose(aRow, *attempt, nullptr, aNow);
  if (auto* endpoint = mTables.mEndpoints.Find(attempt->mEndpoint)) {
    endpoint->mInFlight -= endpoint->mInFlight > 0 ? 1 : 0;
    endpoint->mBreaker.OnInconclusive();
  }
  std::erase_if(aRow.mLiveAttempts, [&](const AttemptRow& aIt) { return aIt.mId == aAttempt; });
}

void AttemptSystem::RecordAtEndpoint(const RequestRow& aRow,
                                     EndpointRow& aEndpoint,
                                     const AttemptOutcome& aOutcome,
                                     TimePoint aNow)
{
  aEndpoint.mInFlight -= aEndpoint.mInFlight > 0 ? 1 : 0;
  if (aOutcome.mEnd == AttemptEnd::Complete) {
    RecordComplete(aRow, aEndpoint, aOutcome, aNow);
    return;
  }
  if (RecordFailure(aEndpoint, aOutcome, aNow)) {
    ++mTables.mCounters.mBreakersOpened;
    mTables.mReports.mEvents.push_back(
      { &kBreakerOpened, { { "endpoint", aEndpoint.mRecord.mId.Value() } } });
  }
}

void AttemptSystem::RecordComplete(const RequestRow& aRow,
                                   EndpointRow& aEndpoint,
                                   const AttemptOutcome& aOutcome,
                                   TimePoint aNow)
{
  aEndpoint.mBreaker.OnSuccess();
  auto& latency = mTables.mPools.Get(aRow.mPool).mLatency[aRow.mFacts.mClass];
  const auto expected = latency.Mean(aNow);
  if (expected.count() > 0) {
    aEndpoint.RecordSlowness(
      static_cast<double>(aOutcome.mLatency.count()) / static_cast<double>(expected.count()), aNow);
  }
  latency.Record(aOutcome.mLatency, aNow);
}

bool AttemptSystem::RecordFailure(EndpointRow& aEndpoint,
                                  const AttemptOutcome& aOutcome,
                                  TimePoint aNow)
{
  const double jitter = mTables.Draw();
  switch (aOutcome.mEnd) {
    case AttemptEnd::Broken:
      if (aNow >= aEndpoint.mLastCrashAt + kCrashWindow) {
        ++mTables.mCounters.mEndpointCrashes;
        mTables.mReports.mEvents.push_back(
          { &kEndpointCrashed, { { "endpoint", aEndpoint.mRecord.mId.Value() } } });
      }
      aEndpoint.mLastCrashAt = aNow;
      aEndpoint.mUnreachableAt = aNow;
      return aEndpoint.mBreaker.OnUnreachable(aNow, jitter);
    case AttemptEnd::ConnectFailed:
      aEndpoint.mUnreachableAt = aNow;
      return aEndpoint.mBreaker.OnUnreachable(aNow, jitter);
    case AttemptEnd::Failed:
    case AttemptEnd::TimedOut:
      return aEndpoint.mBreaker.OnFailure(aNow, jitter);
    case AttemptEnd::Refused:
      aEndpoint.mFullUntil = aNow + kRefusalPause;
      aEndpoint.mBreaker.OnInconclusive();
      return false;
    case AttemptEnd::Complete:
    case AttemptEnd::Rejected:
    case AttemptEnd::Cancelled:
      aEndpoint.mBreaker.OnInconclusive();
      return false;
  }
  return false;
}

} // namespace skylarkchute
