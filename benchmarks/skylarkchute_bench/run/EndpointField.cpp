#include "EndpointField.h"

#include <algorithm>
#include <cassert>

namespace skylarkchute {

namespace {

constexpr std::chrono::microseconds kNetwork{ 500 };
constexpr std::chrono::microseconds kServiceTime{ 40'000 };
constexpr std::chrono::microseconds kFirstTokenBase{ 30'000 };
constexpr std::chrono::microseconds kPerPromptToken{ 100 };
constexpr std::chrono::microseconds kPerCheapToken{ 8'300 };
constexpr std::chrono::microseconds kPerDearToken{ 20'000 };
constexpr std::chrono::hours kHang{ 1 };
constexpr std::chrono::seconds kCrashRestart{ 20 };
constexpr std::chrono::seconds kFlapPeriod{ 10 };

} // namespace

EndpointField::EndpointField(Timeline& aTimeline,
                             const Workload& aWorkload,
                             const FaultPlan& aFaults,
                             const Truth& aTruth)
  : mTimeline(aTimeline)
  , mWorkload(aWorkload)
  , mFaults(aFaults)
  , mTruth(aTruth)
  , mStart(aTimeline.Now())
{
  for (const auto& it : mWorkload.mEndpoints) {
    Endpoint endpoint;
    endpoint.mLoad = it;
    endpoint.mEngine = std::make_unique<FakeEngine>(mTimeline, it.mSlots);
    mEndpoints.push_back(std::move(endpoint));
  }
}

void EndpointField::Send(const FieldAttempt& aAttempt)
{
  const auto id = aAttempt.mStep.mAttempt;
  const auto index = IndexOf(aAttempt.mStep.mEndpoint);
  mOpen[id] = { aAttempt, index, mTimeline.Now(), {} };
  mTimeline.After(kNetwork, [this, id, index] {
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

void EndpointField::Cancel(const AttemptId& aAttempt)
{
  const auto it = mOpen.find(aAttempt);
  if (it == mOpen.end()) {
    return;
  }
  mEndpoints[it->second.mEndpoint].mEngine->Cancel(aAttempt);
  mOpen.erase(it);
}

void EndpointField::Tick()
{
  for (std::size_t n = 0; n < mEndpoints.size(); ++n) {
    auto& endpoint = mEndpoints[n];
    const bool down = IsDownByFault(n) || Elapsed() < endpoint.mUpAgain;
    if (down && !endpoint.mDown) {
      CrashEndpoint(n, std::chrono::microseconds(0));
    }
    endpoint.mDown = down;
    const bool leaves = mFaults.Has(FaultKind::LeavingEndpoints, Elapsed()) && n % 4 == 1;
    if (leaves && !endpoint.mLeavingSince) {
      endpoint.mLeavingSince = mTimeline.Now();
    }
    if (!leaves) {
      endpoint.mLeavingSince.reset();
    }
  }
}

std::vector<EndpointRecord> EndpointField::Records() const
{
  std::vector<EndpointRecord> records;
  for (const auto& it : mEndpoints) {
    records.push_back(it.mLoad.mRecord);
    records.back().mLeaving = it.mLeavingSince.has_value();
  }
  return records;
}

std::vector<LoadReport> EndpointField::Loads() const
{
  std::vector<LoadReport> loads;
  for (const auto& it : mEndpoints) {
    if (it.mDown) {
      continue;
    }
    LoadReport load;
    load.mEndpoint = it.mLoad.mRecord.mId;
    load.mRunning = it.mEngine->Running();
    load.mQueued = it.mEngine->Queued();
    load.mSlots = it.mLoad.mSlots;
    load.mLeaving = it.mLeavingSince.has_value();
    if (it.mLoad.mRecord.mKind == EndpointKind::Engine) {
      load.mHostedLabels = { kCheapVersion, kRollingVersion, kDearVersion };
    }
    loads.push_back(std::move(load));
  }
  return loads;
}

ZoneName EndpointField::ZoneOf(const EndpointId& aEndpoint) const
{
  return mEndpoints[IndexOf(aEndpoint)].mLoad.mRecord.mZone;
}

std::optional<TimePoint> EndpointField::LeavingSince(const EndpointId& aEndpoint) const
{
  return mEndpoints[IndexOf(aEndpoint)].mLeavingSince;
}

std::size_t EndpointField::IndexOf(const EndpointId& aEndpoint) const
{
  const auto it = std::find_if(mEndpoints.begin(), mEndpoints.end(), [&](const auto& aEntry) {
    return aEntry.mLoad.mRecord.mId == aEndpoint;
  });
  assert(it != mEndpoints.end());
  return static_cast<std::size_t>(it - mEndpoints.begin());
}

EngineJob EndpointField::MakeJob(const FieldAttempt& aAttempt)
{
  const auto id = aAttempt.mStep.mAttempt;
  const auto fate = mTruth.Fate(aAttempt.mFacts, Elapsed());
  EngineJob job;
  job.mAttempt = id;
  job.mOnStart = [this, id] { OnStart(id); };
  std::chrono::duration<double, std::micro> first = kServiceTime;
  std::chrono::duration<double, std::micro> whole = kServiceTime;
  if (aAttempt.mFacts.mVersion) {
    const bool isDear = aAttempt.mFacts.mVersion->Value() == kDearVersion;
    const auto perToken = isDear ? kPerDearToken : kPerCheapToken;
    first = kFirstTokenBase + kPerPromptToken * aAttempt.mPromptTokens;
    whole = first + perToken * aAttempt.mCompletionTokens;
  }
  job.mFirstToken = std::chrono::duration_cast<std::chrono::microseconds>(first * fate.mSlowness);
  job.mDuration = std::chrono::duration_cast<std::chrono::microseconds>(whole * fate.mSlowness);
  if (fate.mHangs) {
    job.mDuration = kHang;
    job.mOnEnd = [] {};
    return job;
  }
  if (fate.mError) {
    job.mDuration = std::chrono::duration_cast<std::chrono::microseconds>(first);
    job.mOnEnd = [this, id] { End(id, AttemptEnd::Failed, Verdict::MayHaveRun); };
    return job;
  }
  job.mOnFirstToken = [this, id] {
    const auto it = mOpen.find(id);
    it->second.mFirstToken =
      std::chrono::duration_cast<std::chrono::microseconds>(mTimeline.Now() - it->second.mSent);
    mCalls.mFirstToken(id);
  };
  job.mOnEnd = [this, id] { End(id, AttemptEnd::Complete, Verdict::Ran); };
  return job;
}

void EndpointField::End(const AttemptId& aAttempt, AttemptEnd aEnd, Verdict aVerdict)
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
  mCalls.mEnded(aAttempt, outcome);
}

void EndpointField::OnStart(const AttemptId& aAttempt)
{
  mCalls.mStarted(aAttempt);
  const auto it = mOpen.find(aAttempt);
  if (it == mOpen.end() || !it->second.mAttempt.mCrashes) {
    return;
  }
  const auto index = it->second.mEndpoint;
  mTimeline.After(kFirstTokenBase, [this, index] { CrashEndpoint(index, kCrashRestart); });
}

void EndpointField::CrashEndpoint(std::size_t aIndex, std::chrono::microseconds aDown)
{
  auto& endpoint = mEndpoints[aIndex];
  if (aDown.count() > 0) {
    ++mCrashCount;
    endpoint.mDown = true;
    endpoint.mUpAgain = Elapsed() + aDown;
  }
  for (const auto& it : endpoint.mEngine->Crash()) {
    if (mOpen.find(it) != mOpen.end()) {
      End(it, AttemptEnd::Broken, Verdict::MayHaveRun);
    }
  }
}

bool EndpointField::IsDownByFault(std::size_t aIndex) const
{
  const auto& record = mEndpoints[aIndex].mLoad.mRecord;
  if (mFaults.Has(FaultKind::ZoneLost, Elapsed())) {
    return record.mZone == mWorkload.mZones[1];
  }
  if (mFaults.Has(FaultKind::FlappingEndpoint, Elapsed()) && aIndex == 0) {
    return (Elapsed() / kFlapPeriod) % 2 == 1;
  }
  return false;
}

} // namespace skylarkchute
