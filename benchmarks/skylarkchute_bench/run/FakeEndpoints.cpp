#include "FakeEndpoints.h"

#include <algorithm>
#include <cassert>

namespace skylarkchute {

namespace {

constexpr std::chrono::microseconds kNetworkLatency{ 500 };
constexpr std::chrono::microseconds kServiceTime{ 40'000 };
constexpr std::chrono::microseconds kFirstTokenBase{ 30'000 };
constexpr std::chrono::microseconds kTimePerPromptToken{ 100 };
constexpr std::chrono::microseconds kTimePerCheapToken{ 8'300 };
constexpr std::chrono::microseconds kTimePerExpensiveToken{ 20'000 };
constexpr std::chrono::hours kHangDuration{ 1 };
constexpr std::chrono::seconds kCrashRestart{ 20 };
constexpr std::chrono::seconds kFlapPeriod{ 10 };

} // namespace

FakeEndpoints::FakeEndpoints(Timeline& aTimeline,
                             const Workload& aWorkload,
                             const FaultPlan& aFaults,
                             const GroundTruth& aGroundTruth)
  : mTimeline(aTimeline)
  , mWorkload(aWorkload)
  , mFaults(aFaults)
  , mGroundTruth(aGroundTruth)
  , mStart(aTimeline.Now())
{
  for (const auto& it : mWorkload.mEndpoints) {
    Endpoint endpoint;
    endpoint.mSpec = it;
    endpoint.mEngine = std::make_unique<FakeEngine>(mTimeline, it.mSlots);
    mEndpoints.push_back(std::move(endpoint));
  }
}

void FakeEndpoints::Send(const EndpointAttempt& aAttempt)
{
  const auto id = aAttempt.mStep.mAttempt;
  const auto index = IndexOf(aAttempt.mStep.mEndpoint);
  mOpen[id] = { aAttempt, index, mTimeline.Now(), {} };
  mTimeline.After(kNetworkLatency, [this, id, index] {
    const auto it = mOpen.find(id);
    if (it == mOpen.end()) {
      return;
    }
    auto& endpoint = mEndpoints[index];
    if (endpoint.mDown) {
      End(id, AttemptEnd::ConnectFailed, Verdict::NotRun);
      return;
    }
    if (!endpoint.mEngine->Submit(MakeJob(it->second.mAttempt))) {
      End(id, AttemptEnd::Refused, Verdict::NotRun);
    }
  });
  mTimeline.After(aAttempt.mStep.mTimeout, [this, id, index] {
    if (mOpen.find(id) == mOpen.end()) {
      return;
    }
    mEndpoints[index].mEngine->Cancel(id);
    End(id, AttemptEnd::TimedOut, Verdict::MayHaveRun);
  });
}

void FakeEndpoints::Cancel(const AttemptId& aAttempt)
{
  const auto it = mOpen.find(aAttempt);
  if (it == mOpen.end()) {
    return;
  }
  mEndpoints[it->second.mEndpoint].mEngine->Cancel(aAttempt);
  mOpen.erase(it);
}

void FakeEndpoints::Tick()
{
  for (std::size_t n = 0; n < mEndpoints.size(); ++n) {
    auto& endpoint = mEndpoints[n];
    const bool down = IsDownByFault(n) || Elapsed() < endpoint.mDownUntil;
    if (down && !endpoint.mDown) {
      CrashEndpoint(n, std::chrono::microseconds(0));
    }
    endpoint.mDown = down;
    const bool isLeaving = mFaults.IsActive(FaultKind::LeavingEndpoints, Elapsed()) && n % 4 == 1;
    if (isLeaving && !endpoint.mLeavingSince) {
      endpoint.mLeavingSince = mTimeline.Now();
    }
    if (!isLeaving) {
      endpoint.mLeavingSince.reset();
    }
  }
}

std::vector<EndpointRecord> FakeEndpoints::Records() const
{
  std::vector<EndpointRecord> records;
  for (const auto& it : mEndpoints) {
    records.push_back(it.mSpec.mRecord);
    records.back().mLeaving = it.mLeavingSince.has_value();
  }
  return records;
}

std::vector<LoadReport> FakeEndpoints::Loads() const
{
  std::vector<LoadReport> loads;
  for (const auto& it : mEndpoints) {
    if (it.mDown) {
      continue;
    }
    LoadReport load;
    load.mEndpoint = it.mSpec.mRecord.mId;
    load.mRunning = it.mEngine->Running();
    load.mQueued = it.mEngine->Queued();
    load.mSlots = it.mSpec.mSlots;
    load.mLeaving = it.mLeavingSince.has_value();
    if (it.mSpec.mRecord.mKind == EndpointKind::Engine) {
      load.mHostedLabels = { kCheapVersion, kRollingVersion, kExpensiveVersion };
    }
    loads.push_back(std::move(load));
  }
  return loads;
}

ZoneName FakeEndpoints::ZoneOf(const EndpointId& aEndpoint) const
{
  return mEndpoints[IndexOf(aEndpoint)].mSpec.mRecord.mZone;
}

std::optional<TimePoint> FakeEndpoints::LeavingSince(const EndpointId& aEndpoint) const
{
  return mEndpoints[IndexOf(aEndpoint)].mLeavingSince;
}

std::size_t FakeEndpoints::IndexOf(const EndpointId& aEndpoint) const
{
  const auto it = std::find_if(mEndpoints.begin(), mEndpoints.end(), [&](const auto& aEntry) {
    return aEntry.mSpec.mRecord.mId == aEndpoint;
  });
  assert(it != mEndpoints.end());
  return static_cast<std::size_t>(it - mEndpoints.begin());
}

EngineJob FakeEndpoints::MakeJob(const EndpointAttempt& aAttempt)
{
  const auto id = aAttempt.mStep.mAttempt;
  const auto behavior = mGroundTruth.BehaviorOf(aAttempt.mFacts, Elapsed());
  EngineJob job;
  job.mAttempt = id;
  job.mOnStart = [this, id] { OnStart(id); };
  std::chrono::duration<double, std::micro> first = kServiceTime;
  std::chrono::duration<double, std::micro> whole = kServiceTime;
  if (aAttempt.mFacts.mVersion) {
    const bool isExpensive = aAttempt.mFacts.mVersion->Value() == kExpensiveVersion;
    const auto perToken = isExpensive ? kTimePerExpensiveToken : kTimePerCheapToken;
    first = kFirstTokenBase + kTimePerPromptToken * aAttempt.mPromptTokens;
    whole = first + perToken * aAttempt.mCompletionTokens;
  }
  job.mFirstToken =
    std::chrono::duration_cast<std::chrono::microseconds>(first * behavior.mLatencyFactor);
  job.mDuration =
    std::chrono::duration_cast<std::chrono::microseconds>(whole * behavior.mLatencyFactor);
  if (behavior.mHangs) {
    job.mDuration = kHangDuration;
    job.mOnEnd = [] {};
    return job;
  }
  if (behavior.mError) {
    job.mDuration = std::chrono::duration_cast<std::chrono::microseconds>(first);
    job.mOnEnd = [this, id] { End(id, AttemptEnd::Failed, Verdict::MayHaveRun); };
    return job;
  }
  job.mOnFirstToken = [this, id] {
    const auto it = mOpen.find(id);
    it->second.mFirstToken =
      std::chrono::duration_cast<std::chrono::microseconds>(mTimeline.Now() - it->second.mSent);
    mCallbacks.mFirstToken(id);
  };
  job.mOnEnd = [this, id] { End(id, AttemptEnd::Complete, Verdict::Ran); };
  return job;
}

void FakeEndpoints::End(const AttemptId& aAttempt, AttemptEnd aEnd, Verdict aVerdict)
{
  const auto it = mOpen.find(aAttempt);
  assert(it != mOpen.end());
  const auto open = it->second;
  mOpen.erase(it);
  AttemptOutcome outcome;
  outcome.mEnd = aEnd;
  outcome.mVerdict = aVerdict;
  outcome.mHttpStatus = aEnd == AttemptEnd::Complete ? 200 : 503;
  outcome.mFirstToken = open.mFirstToken;
  outcome.mLatency =
    std::chrono::duration_cast<std::chrono::microseconds>(mTimeline.Now() - open.mSent);
  if (aEnd == AttemptEnd::Complete) {
    outcome.mPromptTokens = open.mAttempt.mPromptTokens;
    outcome.mCompletionTokens = open.mAttempt.mCompletionTokens;
  }
  mCallbacks.mEnded(aAttempt, outcome);
}

void FakeEndpoints::OnStart(const AttemptId& aAttempt)
{
  mCallbacks.mStarted(aAttempt);
  const auto it = mOpen.find(aAttempt);
  if (it == mOpen.end() || !it->second.mAttempt.mCrashes) {
    return;
  }
  const auto index = it->second.mEndpoint;
  mTimeline.After(kFirstTokenBase, [this, index] { CrashEndpoint(index, kCrashRestart); });
}

void FakeEndpoints::CrashEndpoint(std::size_t aIndex, std::chrono::microseconds aDownTime)
{
  auto& endpoint = mEndpoints[aIndex];
  if (aDownTime.count() > 0) {
    ++mCrashCount;
    endpoint.mDown = true;
    endpoint.mDownUntil = Elapsed() + aDownTime;
  }
  for (const auto& it : endpoint.mEngine->Crash()) {
    if (mOpen.find(it) != mOpen.end()) {
      End(it, AttemptEnd::Broken, Verdict::MayHaveRun);
    }
  }
}

bool FakeEndpoints::IsDownByFault(std::size_t aIndex) const
{
  const auto& record = mEndpoints[aIndex].mSpec.mRecord;
  if (mFaults.IsActive(FaultKind::ZoneLost, Elapsed())) {
    return record.mZone == mWorkload.mZones[1];
  }
  if (mFaults.IsActive(FaultKind::FlappingEndpoint, Elapsed()) && aIndex == 0) {
    return (Elapsed() / kFlapPeriod) % 2 == 1;
  }
  return false;
}

} // namespace skylarkchute
