#include "FleetRun.h"

#include <algorithm>
#include <cassert>

namespace skylarkchute {

namespace {

constexpr std::chrono::milliseconds kTickPeriod{ 50 };
constexpr std::chrono::milliseconds kLoadPeriod{ 500 };
constexpr std::chrono::milliseconds kLoadLag{ 500 };
constexpr std::chrono::seconds kListPeriod{ 1 };
constexpr std::chrono::seconds kListLag{ 2 };
constexpr std::chrono::seconds kEvidencePeriod{ 1 };
constexpr std::chrono::milliseconds kEvidenceLag{ 500 };
constexpr std::chrono::milliseconds kAlertLag{ 200 };
constexpr std::chrono::microseconds kRatingLatency{ 150'000 };
constexpr std::chrono::microseconds kSlowRatingLatency{ 10'000'000 };
/** Exceeds the longest deadline, 125 s: twice the target latency of 60 s plus 5 s. */
constexpr std::chrono::seconds kDrainTime{ 200 };
constexpr double kFirstStagePercent = 5;
constexpr std::chrono::seconds kStageHold{ 200 };
constexpr double kTokensPerPriceUnit = 1000;
/** Share of the price of a complete answer that a cancelled attempt costs. */
constexpr double kCancelledCostShare = 0.5;
/** While the fault is active, one request in this many crashes its endpoint. */
constexpr std::uint64_t kRequestsPerCrash = 2000;

const VersionId kRollingVersionId{ kRollingVersion };

bool IsFailure(AttemptEnd aEnd)
{
  return aEnd == AttemptEnd::Failed || aEnd == AttemptEnd::TimedOut || aEnd == AttemptEnd::Broken;
}

} // namespace

FleetRun::FleetRun(const Workload& aWorkload, const RunOptions& aOptions)
  : mWorkload(aWorkload)
  , mOptions(aOptions)
  , mStart(mTimeline.Now())
  , mGroundTruth(aWorkload, aOptions.mFaults, aOptions.mSeed)
  , mFakeEndpoints(mTimeline, aWorkload, aOptions.mFaults, mGroundTruth)
  , mSource(aWorkload, aOptions)
  , mPromises(aWorkload)
{
  mRun.mLength = aOptions.mLength;
  for (const auto& it : aWorkload.mEndpoints) {
    mRun.mSlots += it.mRecord.mKind == EndpointKind::Engine ? it.mSlots : 0;
  }
  mFakeEndpoints.SetCallbacks({
    [this](const AttemptId& aAttempt) { OnStarted(aAttempt); },
    [this](const AttemptId& aAttempt) { OnFirstToken(aAttempt); },
    [this](const AttemptId& aAttempt, const AttemptOutcome& aOutcome) {
      OnEnded(aAttempt, aOutcome);
    },
  });
}

RunRecord FleetRun::Run()
{
  StartInstances();
  // The roll passes through smaller stages first, so that the routers have compared both versions.
  SetStage(std::min(mOptions.mStagePercent, kFirstStagePercent));
  if (mOptions.mStagePercent > kFirstStagePercent) {
    mTimeline.After(kStageHold, [this] { SetStage(mOptions.mStagePercent / 2); });
    mTimeline.After(2 * kStageHold, [this] { SetStage(mOptions.mStagePercent); });
  }
  ScheduleArrival();
  Every(kTickPeriod, [this] {
    mFakeEndpoints.Tick();
    for (std::size_t n = 0; n < mInstances.size(); ++n) {
      Handle(n, mInstances[n].mRouter->Tick(mTimeline.Now()));
    }
  });
  Every(kLoadPeriod, [this] { SendLoads(); });
  Every(kListPeriod, [this] { SendEndpoints(); });
  Every(kEvidencePeriod, [this] { SendEvidence(); });
  mTimeline.RunUntil(mStart + mOptions.mLength + kDrainTime);

  mPromises.OnEnd(mRun);
  mRun.mBrokenPromises = mPromises.Violations();
  mRun.mEndpointCrashes = mFakeEndpoints.CrashCount();
  for (const auto& it : mInstances) {
    if (it.mFirstError && it.mLastRollingDispatch && mRun.mExposure.mFirstStop) {
      const auto stop = *it.mLastRollingDispatch - *it.mFirstError;
      mRun.mExposure.mLocalStops.push_back(std::max(stop, std::chrono::microseconds(0)));
    }
  }
  return std::move(mRun);
}

std::chrono::microseconds FleetRun::Elapsed() const
{
  return std::chrono::duration_cast<std::chrono::microseconds>(mTimeline.Now() - mStart);
}

void FleetRun::StartInstances()
{
  const auto now = mTimeline.Now();
  mLastEndpoints = mFakeEndpoints.Records();
  const auto count = static_cast<double>(mWorkload.mInstances);
  std::vector<LimitShare> shares;
  for (const auto& it : mWorkload.mBundle->mTeams) {
    shares.push_back({ it.mName, it.mRequestsPerSecond / count, it.mTokensPerSecond / count });
  }
  for (std::size_t n = 0; n < mWorkload.mInstances; ++n) {
    Instance instance;
    const auto& zone = mWorkload.mZones[n % mWorkload.mZones.size()];
    instance.mRouter = MakeBenchRouter(
      mOptions.mRouter, zone, InstanceId("entry-" + std::to_string(n)), mOptions.mSeed * 100 + n);
    assert(instance.mRouter != nullptr);
    instance.mRouter->ApplyBundle(mWorkload.mBundle, now);
    instance.mRouter->ApplyEndpoints(mLastEndpoints, now);
    instance.mRouter->ApplyLimitShares(shares, now);
    for (const auto& it : mFakeEndpoints.Loads()) {
      instance.mRouter->ApplyLoad(it, now);
    }
    mInstances.push_back(std::move(instance));
  }
}

void FleetRun::ScheduleArrival()
{
  const auto next = mSource.NextArrival();
  if (next < mOptions.mLength) {
    mTimeline.After(next - Elapsed(), [this] { Arrive(); });
  }
}

void FleetRun::Arrive()
{
  auto request = mSource.Next(mStart);
  PrepareSession(request);
  const auto& facts = request.mFacts;
  auto& record = request.mRecord;
  AttemptFacts truth{ record.mNumber, 0, record.mClass, record.mTeam, {}, {}, {} };
  if (!facts.mService) {
    truth.mVersion = VersionId(kCheapVersion);
    record.mCheapWouldBeGood = mGroundTruth.IsGood(truth, record.mArrival);
    truth.mVersion = VersionId(kExpensiveVersion);
    record.mExpensiveWouldBeGood = mGroundTruth.IsGood(truth, record.mArrival);
  }
  const auto instance = record.mInstance;
  mRequests[facts.mId] = mRun.mRequests.size();
  mRun.mRequests.push_back(record);
  mCompletionTokens.push_back(request.mCompletionTokens);
  Handle(instance, mInstances[instance].mRouter->Start(facts, mTimeline.Now()));
  ScheduleArrival();
}

void FleetRun::PrepareSession(GeneratedRequest& aRequest)
{
  auto& session = aRequest.mRecord.mSession;
  if (!session) {
    return;
  }
  if (mPendingSessionStarts.count(*session) > 0 || mPromises.IsEnded(*session)) {
    session.reset();
    return;
  }
  aRequest.mFacts.mPinnedVersion = mPromises.PinOf(*session);
  if (!aRequest.mFacts.mPinnedVersion) {
    aRequest.mFacts.mStartsSession = true;
    mPendingSessionStarts[*session] = aRequest.mFacts.mId;
  }
}

void FleetRun::Every(std::chrono::microseconds aPeriod, const std::function<void()>& aCall)
{
  mTimeline.After(aPeriod, [this, aPeriod, aCall] {
    aCall();
    Every(aPeriod, aCall);
  });
}

void FleetRun::Handle(std::size_t aInstance, const RouterSteps& aSteps)
{
  for (const auto& step : aSteps) {
    std::visit([&](const auto& aStep) { Execute(aInstance, aStep); }, step);
  }
  TakeReports(aInstance);
}

void FleetRun::Execute(std::size_t, const RefuseStep& aStep)
{
  auto& record = mRun.mRequests[mRequests.at(aStep.mRequest)];
  mPromises.OnRefuse(record, aStep);
  record.mVerdict = aStep.mVerdict;
  record.mRefusalReason = aStep.mReason;
  if (record.mSession) {
    mPromises.EndSession(*record.mSession);
  }
  End(record);
}

void FleetRun::Execute(std::size_t, const WaitStep&) {}

void FleetRun::Execute(std::size_t aInstance, const DispatchStep& aStep)
{
  const auto index = mRequests.at(aStep.mRequest);
  auto& record = mRun.mRequests[index];
  const auto leaving = mFakeEndpoints.LeavingSince(aStep.mEndpoint);
  const auto leavingFor =
    leaving ? std::chrono::duration_cast<std::chrono::microseconds>(mTimeline.Now() - *leaving)
            : std::chrono::microseconds(0);
  mPromises.OnDispatch(record, aStep, leavingFor);
  if (record.mSession) {
    mPendingSessionStarts.erase(*record.mSession);
  }
  ++record.mAttempts;
  record.mHedges += aStep.mHedge ? 1 : 0;

  EndpointAttempt attempt;
  attempt.mStep = aStep;
  attempt.mFacts = { record.mNumber,
                     record.mAttempts,
                     record.mClass,
                     record.mTeam,
                     aStep.mVersion,
                     aStep.mEndpoint,
                     {} };
  attempt.mFacts.mZone = mFakeEndpoints.ZoneOf(aStep.mEndpoint);
  attempt.mCompletionTokens = mCompletionTokens[index];
  attempt.mPromptTokens = record.mTokens - attempt.mCompletionTokens;
  attempt.mCrashes = mOptions.mFaults.IsActive(FaultKind::CrashingRequest, Elapsed()) &&
                     record.mNumber % kRequestsPerCrash == 0;
  OpenAttempt open;
  open.mRequest = index;
  open.mFacts = attempt.mFacts;
  open.mStarted = Elapsed();
  RecordExposure(aInstance, open);
  mAttempts[aStep.mAttempt] = open;
  mFakeEndpoints.Send(attempt);
}

void FleetRun::Execute(std::size_t, const CancelStep& aStep)
{
  const auto it = mAttempts.find(aStep.mAttempt);
  if (it == mAttempts.end() || it->second.mComplete) {
    return;
  }
  auto& record = mRun.mRequests[it->second.mRequest];
  record.mCost += kCancelledCostShare * PriceOf(it->second.mFacts.mVersion) * record.mTokens /
                  kTokensPerPriceUnit;
  mFakeEndpoints.Cancel(aStep.mAttempt);
  mAttempts.erase(it);
}

void FleetRun::Execute(std::size_t, const FinishStep& aStep)
{
  auto& record = mRun.mRequests[mRequests.at(aStep.mRequest)];
  const auto it = mAttempts.find(aStep.mAttempt);
  const bool isWhole = it != mAttempts.end() && it->second.mComplete &&
                       it->second.mFacts.mRequestNumber == record.mNumber;
  mPromises.OnFinish(record, isWhole);
  record.mAnswered = true;
  record.mVerdict = aStep.mVerdict;
  if (isWhole) {
    record.mServedVersion = it->second.mFacts.mVersion;
    record.mGood = mGroundTruth.IsGood(it->second.mFacts, record.mArrival);
  }
  End(record);
  const auto target = mWorkload.mBundle->FindClass(record.mClass)->mTargetLatency;
  record.mInTime = record.mEnd <= 2 * target + std::chrono::seconds(5);
  if (record.mInTime && isWhole && record.mServedVersion) {
    mRun.mUsefulSlotTime += it->second.mDuration;
  }
}

void FleetRun::End(RequestRecord& aRecord)
{
  aRecord.mEnded = true;
  aRecord.mEnd = Elapsed() - aRecord.mArrival;
  if (aRecord.mSession) {
    mPendingSessionStarts.erase(*aRecord.mSession);
  }
}

void FleetRun::OnStarted(const AttemptId& aAttempt)
{
  auto& open = mAttempts.at(aAttempt);
  ++mRun.mRequests[open.mRequest].mStartedAttempts;
  open.mStarted = Elapsed();
}

void FleetRun::OnFirstToken(const AttemptId& aAttempt)
{
  const auto& open = mAttempts.at(aAttempt);
  auto& record = mRun.mRequests[open.mRequest];
  if (record.mFirstToken.count() == 0) {
    record.mFirstToken = Elapsed() - record.mArrival;
  }
  const RequestId id("r" + std::to_string(record.mNumber));
  mInstances[record.mInstance].mRouter->ReportFirstToken(id, aAttempt, mTimeline.Now());
}

void FleetRun::OnEnded(const AttemptId& aAttempt, const AttemptOutcome& aOutcome)
{
  auto& open = mAttempts.at(aAttempt);
  RecordOutcome(open, aOutcome);
  const auto& record = mRun.mRequests[open.mRequest];
  const auto instance = record.mInstance;
  const RequestId id("r" + std::to_string(record.mNumber));
  auto& router = *mInstances[instance].mRouter;
  Handle(instance, router.ReportOutcome(id, aAttempt, aOutcome, mTimeline.Now()));
}

void FleetRun::RecordOutcome(OpenAttempt& aAttempt, const AttemptOutcome& aOutcome)
{
  auto& record = mRun.mRequests[aAttempt.mRequest];
  aAttempt.mComplete = aOutcome.mEnd == AttemptEnd::Complete;
  aAttempt.mDuration = Elapsed() - aAttempt.mStarted;
  if (aAttempt.mComplete) {
    record.mCost += PriceOf(aAttempt.mFacts.mVersion) * record.mTokens / kTokensPerPriceUnit;
  }
  const auto kind = mOptions.mFaults.mKind;
  const bool isSilent = kind == FaultKind::BadQuality || kind == FaultKind::BadLatency;
  auto& instance = mInstances[record.mInstance];
  const bool isAffected = mGroundTruth.IsAffectedByBadVersion(aAttempt.mFacts, Elapsed());
  if (isAffected && (isSilent || IsFailure(aOutcome.mEnd))) {
    instance.mFirstError = instance.mFirstError.value_or(Elapsed());
    mRun.mExposure.mFirstError = mRun.mExposure.mFirstError.value_or(Elapsed());
  }
}

void FleetRun::RecordExposure(std::size_t aInstance, const OpenAttempt& aAttempt)
{
  if (aAttempt.mFacts.mVersion != kRollingVersionId) {
    return;
  }
  mRun.mExposure.mLastDispatch = Elapsed();
  mInstances[aInstance].mLastRollingDispatch = Elapsed();
  if (mGroundTruth.IsAffectedByBadVersion(aAttempt.mFacts, Elapsed())) {
    ++mRun.mExposure.mRequests;
    mRun.mExposure.mTokens += mRun.mRequests[aAttempt.mRequest].mTokens;
  }
}

void FleetRun::TakeReports(std::size_t aInstance)
{
  auto& instance = mInstances[aInstance];
  auto reports = instance.mRouter->TakeReports(mTimeline.Now());
  instance.mEvidence.insert(
    instance.mEvidence.end(), reports.mEvidence.begin(), reports.mEvidence.end());
  for (const auto& it : reports.mAlerts) {
    BroadcastAlert(aInstance, it);
  }
  for (const auto& it : reports.mRatingCandidates) {
    Rate(aInstance, it);
  }
}

void FleetRun::BroadcastAlert(std::size_t aInstance, const RoutingAlert& aAlert)
{
  if (aAlert.mVersion) {
    mPromises.OnStopped(aInstance, *aAlert.mVersion);
    ++mRun.mExposure.mStops;
    mRun.mExposure.mFirstStop = mRun.mExposure.mFirstStop.value_or(Elapsed());
  }
  mTimeline.After(kAlertLag, [this, aInstance, aAlert] {
    for (std::size_t n = 0; n < mInstances.size(); ++n) {
      if (n == aInstance) {
        continue;
      }
      mInstances[n].mRouter->ApplyAlert(aAlert, mTimeline.Now());
      if (aAlert.mVersion) {
        mPromises.OnStopped(n, *aAlert.mVersion);
      }
    }
  });
}

void FleetRun::Rate(std::size_t aInstance, const RatingCandidate& aCandidate)
{
  const auto open = mAttempts.find(aCandidate.mAttempt);
  if (open == mAttempts.end()) {
    return;
  }
  const auto& facts = open->second.mFacts;
  const auto arrival = mRun.mRequests[open->second.mRequest].mArrival;
  const bool good = mGroundTruth.IsGood(facts, arrival);
  const bool isDown = mOptions.mFaults.IsActive(FaultKind::RaterDown, Elapsed());
  const bool isSlow = mOptions.mFaults.IsActive(FaultKind::RaterSlow, Elapsed());
  const double rating = mGroundTruth.Rating(good, facts.mRequestNumber, Elapsed());
  if (aCandidate.mHeld) {
    if (isDown) {
      return;
    }
    mTimeline.After(isSlow ? kSlowRatingLatency : kRatingLatency,
                    [this, aInstance, aCandidate, rating] {
                      auto& router = *mInstances[aInstance].mRouter;
                      Handle(aInstance,
                             router.ReportHeldRating(
                               aCandidate.mRequest, aCandidate.mAttempt, rating, mTimeline.Now()));
                    });
    return;
  }
  if (isDown) {
    return;
  }
  const RatedAnswer answer{ aCandidate.mVersion, facts.mClass, facts.mTeam, rating };
  const std::chrono::microseconds delay = isSlow ? kSlowRatingLatency : kRatingLatency;
  mTimeline.After(delay, [this, aInstance, answer] {
    mInstances[aInstance].mRouter->ReportRating(answer, mTimeline.Now());
    TakeReports(aInstance);
  });
}

void FleetRun::SendLoads()
{
  const auto loads = mFakeEndpoints.Loads();
  mTimeline.After(kLoadLag, [this, loads] {
    for (auto& instance : mInstances) {
      for (const auto& it : loads) {
        instance.mRouter->ApplyLoad(it, mTimeline.Now());
      }
    }
  });
}

void FleetRun::SendEndpoints()
{
  auto records = mFakeEndpoints.Records();
  const auto isSame = [](const EndpointRecord& aLeft, const EndpointRecord& aRight) {
    return aLeft.mId == aRight.mId && aLeft.mLeaving == aRight.mLeaving;
  };
  if (std::equal(records.begin(), records.end(), mLastEndpoints.begin(), isSame)) {
    return;
  }
  mLastEndpoints = records;
  mTimeline.After(kListLag, [this, records] {
    for (auto& it : mInstances) {
      it.mRouter->ApplyEndpoints(records, mTimeline.Now());
    }
  });
}

void FleetRun::SendEvidence()
{
  for (std::size_t n = 0; n < mInstances.size(); ++n) {
    auto evidence = std::move(mInstances[n].mEvidence);
    mInstances[n].mEvidence.clear();
    if (evidence.empty()) {
      continue;
    }
    mTimeline.After(kEvidenceLag, [this, n, evidence = std::move(evidence)] {
      for (std::size_t other = 0; other < mInstances.size(); ++other) {
        if (other != n) {
          mInstances[other].mRouter->ApplyFleetEvidence(evidence, mTimeline.Now());
          TakeReports(other);
        }
      }
    });
  }
}

void FleetRun::SetStage(double aPercent)
{
  if (mRun.mExposure.mFirstStop) {
    return;
  }
  for (auto& it : mInstances) {
    it.mRouter->ApplyRolls({ { RollName(kRoll), aPercent, false } }, mTimeline.Now());
  }
}

double FleetRun::PriceOf(const std::optional<VersionId>& aVersion) const
{
  if (!aVersion) {
    return 0;
  }
  const auto* version = mWorkload.mBundle->FindVersion(*aVersion);
  return mWorkload.mBundle->FindModel(version->mModel)->mPricePerThousandTokens;
}

} // namespace skylarkchute
