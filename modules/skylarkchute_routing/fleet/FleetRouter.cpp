#include "FleetRouter.h"

#include "PlacementPolicy.h"

#include <algorithm>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

/** Maximum number of attempts of a request that are sent to endpoints, whether they run or not. */
constexpr std::uint32_t kMaxSends = 4;

/** Maximum number of attempts of a request through another instance. */
constexpr std::uint32_t kMaxForwards = 4;

/** After this many endpoints that could not be reached, a request goes through another instance.
    One that another instance has sent is rejected. */
constexpr std::uint32_t kMaxNotReached = 2;

/** Maximum number of attempts through another instance because all endpoints of a service are in
    zones that this one does not reach. The endpoints are tried after that. */
constexpr std::uint32_t kMaxZoneForwards = 2;

/** Retry delay stated in a refusal, limited to a third of the request's remaining time.
    kEngineRetryAfter applies to services with model engines. */
constexpr milliseconds kShortRetryAfter{ 150 };
constexpr milliseconds kEngineRetryAfter{ 700 };

/** Engine priorities range from 0, the most urgent, to 9. */
constexpr std::uint32_t kLowestPriority = 9;

/** The timeout for the first byte is this multiple of the mean latency, but at least
    kMinEngineFirstByteTimeout for requests whose model the router chooses and kMinFirstByteTimeout
    for all others. */
constexpr double kFirstByteTimeoutFactor = 6;
constexpr milliseconds kMinFirstByteTimeout{ 250 };
constexpr milliseconds kMinEngineFirstByteTimeout{ 1500 };

/** A stream resumes on another endpoint after a pause of this multiple of the route's largest gap
    between events, but not before kMinPauseTimeout. */
constexpr int kPauseTimeoutFactor = 2;
constexpr milliseconds kMinPauseTimeout{ 1500 };

/** From this pressure on endpoints count as full, and kFullTimeout replaces the timeouts above. It
    is shorter than the 8 s or so that callers wait for an event. */
constexpr double kFullPressure = 0.5;
constexpr milliseconds kFullTimeout{ 5000 };

/** Estimate of the largest model's time to the first byte while no latency is known, such as after
    a restart of all instances: an engine's typical latency plus the prompt at its typical
    processing rate. */
constexpr milliseconds kDefaultLatency{ 60 };
constexpr std::uint64_t kDefaultTokensPerMs = 20;

milliseconds Until(TimePoint aThen, TimePoint aNow)
{
  return std::chrono::duration_cast<milliseconds>(aThen - aNow);
}

/** Returns whether another attempt at the request should go elsewhere. */
bool IsFailure(RelayOutcome aOutcome)
{
  return aOutcome != RelayOutcome::Answered && aOutcome != RelayOutcome::Superseded &&
         aOutcome != RelayOutcome::Overtaken && aOutcome != RelayOutcome::Abandoned;
}

LatencyKind KindOf(const RequestPlan& aPlan, const std::optional<std::size_t>& aSize)
{
  if (aSize) {
    return { aPlan.mService.Value() + '/' + aPlan.mRoute->mSizes[*aSize].Value(),
             aPlan.mPromptTokens };
  }
  return { aPlan.mRoute->mName, aPlan.mPromptTokens };
}

/** Returns the cost of a route's smallest model divided by that of its largest; zero if unknown. */
double CostRatioOf(const RelayService* aService, const RelayRoute& aRoute)
{
  double smallest = 0;
  double largest = 0;
  if (aService != nullptr) {
    for (const auto& it : aService->mModels) {
      smallest = it.mName == aRoute.mSizes.front() ? it.mCost : smallest;
      largest = it.mName == aRoute.mSizes.back() ? it.mCost : largest;
    }
  }
  return smallest > 0 && largest > 0 ? smallest / largest : 0;
}

std::vector<ZoneName> ZonesOf(const std::vector<FleetRow*>& aRows)
{
  std::vector<ZoneName> zones;
  zones.reserve(aRows.size());
  for (const auto* it : aRows) {
    zones.push_back(it->mEntry.mZone);
  }
  return zones;
}

} // namespace

FleetRouter::FleetRouter(IncarnationId aSelf,
                         ZoneName aZone,
                         const FleetBounds& aBounds,
                         std::uint64_t aSeed)
  : mZone(std::move(aZone))
  , mBounds(aBounds)
  , mRollouts(std::move(aSelf), aBounds.mExposure, aBounds.mSession)
  , mAdmission(aSeed)
  , mPacing(static_cast<std::uint32_t>(aSeed % 2147483646U + 1))
  , mRandom(static_cast<std::minstd_rand::result_type>(aSeed % 2147483646U + 1))
{
  mPacing.SetBound(aBounds.mCold);
  mFilter.SetRegions(aBounds.mRegions);
  mZones.SetTolerated(aBounds.mToleratedZones);
  mHedging.SetBound(aBounds.mHedging);
}

void FleetRouter::SetBounds(const FleetBounds& aBounds)
{
  mBounds = aBounds;
  mPacing.SetBound(aBounds.mCold);
  mFilter.SetRegions(aBounds.mRegions);
  mHedging.SetBound(aBounds.mHedging);
  mRollouts.SetBounds(aBounds.mExposure, aBounds.mSession);
  mZones.SetTolerated(aBounds.mToleratedZones);
}

ServiceName FleetRouter::ChooseService(const RelayRoute& aRoute)
{
  if (aRoute.mTargets.size() == 1) {
    return aRoute.mTargets.front().mService;
  }
  std::vector<double> weights;
  for (const auto& it : aRoute.mTargets) {
    weights.push_back(it.mWeight);
  }
  std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
  return aRoute.mTargets[draw(mRandom)].mService;
}

std::variant<RequestPlan, RelayRefusal> FleetRouter::Admit(const RelayRequest& aRequest,
                                                           TimePoint aNow)
{
  if (!mConfig) {
    return RelayRefusal{ RefusalReason::NoConfiguration, kEngineRetryAfter };
  }
  RequestPlan plan;
  plan.mConfig = mConfig;
  plan.mRoute = mConfig->FindRoute(aRequest.mHost, aRequest.mPath);
  if (plan.mRoute == nullptr) {
    return RelayRefusal{ RefusalReason::NoRoute, {} };
  }
  const auto& route = *plan.mRoute;
  plan.mTeam = mConfig->FindTeam(aRequest.mKey);
  if (plan.mTeam == nullptr && mConfig->HasTeams() && !route.mPublic) {
    return RelayRefusal{ RefusalReason::NoKey, {} };
  }
  plan.mService = ChooseService(route);
  const auto& parts = aRequest.mPromptParts;
  if (!parts.empty()) {
    plan.mAffinity = parts.size() > 1 ? parts[parts.size() - 2] : parts.back();
    plan.mSession = plan.mAffinity;
  }
  for (std::size_t n = 0; n + 1 < parts.size(); ++n) {
    plan.mSharedParts.push_back(StableHash(parts[n]));
  }
  plan.mFingerprint = aRequest.mFingerprint;
  plan.mModel = aRequest.mModel;
  plan.mPromptTokens = aRequest.mPromptTokens;
  plan.mSharedTokens = aRequest.mSharedTokens;
  plan.mMaxOutputTokens = aRequest.mMaxOutputTokens;
  plan.mPriority =
    plan.mTeam != nullptr && plan.mTeam->mPriority ? *plan.mTeam->mPriority : route.mPriority;
  plan.mRank = mConfig->RankOf(plan.mService, route.mPriority);
  plan.mArrival = aNow;
  plan.mEnd = aNow + std::min(route.mTimeout, aRequest.mDeadline.value_or(route.mTimeout));
  plan.mTarget = aNow + route.mTargetLatency;
  plan.mIsContinuation = aRequest.mIsContinuation;
  plan.mIsForwarded = aRequest.mIsForwarded;
  plan.mMaxRuns = aRequest.mIsForwarded ? 1 : route.mMaxAttempts;
  plan.mChoosesSize = !route.mSizes.empty() && aRequest.mModel == "*";
  mPartSuspects.OnRequest(plan.mSharedParts);
  if (IsSuspect(plan, aNow) || mPartSuspects.IsRefused(plan.mSharedParts, aNow)) {
    return Refuse(plan, RefusalReason::CrashesEndpoints, aNow);
  }
  return plan;
}

/** Returns whether a request is refused because endpoints crashed under it alone. */
bool FleetRouter::IsSuspect(const RequestPlan& aPlan, TimePoint aNow) const
{
  return mSuspects.IsRefused(aPlan.mFingerprint, aNow, [this](const std::string& aEndpoint) {
    return mPartSuspects.IsExplained(aEndpoint);
  });
}

/** Returns whether the endpoints of a service are model engines. */
bool FleetRouter::IsEngine(const ServiceName& aService) const
{
  const auto* service = mConfig == nullptr ? nullptr : mConfig->FindService(aService);
  return service != nullptr && service->mEngineSlots > 0;
}

RelayRefusal FleetRouter::Refuse(const RequestPlan& aPlan,
                                 RefusalReason aReason,
                                 TimePoint aNow) const
{
  const auto third = Until(aPlan.mEnd, aNow) / 3;
  const auto delay = IsEngine(aPlan.mService) ? kEngineRetryAfter : kShortRetryAfter;
  return { aReason, std::max(milliseconds(0), std::min(delay, third)) };
}

/** Refuses a request because all its endpoints permit no more requests now. The delay is the time
    until one of them does, spread so that the callers do not return all at once. */
RelayRefusal FleetRouter::RefuseLimited(const RequestPlan& aPlan,
                                        const std::vector<FleetRow*>& aRows,
                                        TimePoint aNow)
{
  auto refusal = Refuse(aPlan, RefusalReason::EndpointsLimited, aNow);
  const auto wait = mFilter.WaitTime(Limits(), aRows, aPlan, aNow);
  const auto third = std::max(milliseconds(0), Until(aPlan.mEnd, aNow) / 3);
  const double spread = std::uniform_real_distribution<double>(1, 2)(mRandom);
  refusal.mRetryAfter =
    std::min(third, std::chrono::duration_cast<milliseconds>(std::min(wait, third) * spread));
  return refusal;
}

/** Returns a random number, 0 to 1. */
double FleetRouter::Draw()
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom);
}

SizeInputs FleetRouter::SizeInputsOf(const RequestPlan& aPlan,
                                     std::uint32_t aRuns,
                                     TimePoint aNow) const
{
  const auto& route = *aPlan.mRoute;
  const auto largest = route.mSizes.size() - 1;
  const auto fallback = kDefaultLatency + milliseconds(aPlan.mPromptTokens / kDefaultTokensPerMs);
  return { route.mSizes.size(),
           aPlan.mMaxRuns - std::min(aPlan.mMaxRuns, aRuns),
           Until(aPlan.mTarget, aNow),
           mLatencies.Mean(KindOf(aPlan, largest), fallback),
           aPlan.mIsContinuation,
           aPlan.mRank,
           mEndpoints.Pressure(aPlan.mService, aNow) };
}

ModelInputs FleetRouter::ModelInputsOf(const RequestPlan& aPlan,
                                       std::uint32_t aRuns,
                                       TimePoint aNow) const
{
  const auto& route = *aPlan.mRoute;
  const auto base = SizeInputsOf(aPlan, aRuns, aNow);
  ModelInputs inputs;
  inputs.mSizes = base.mSizes;
  // Where an answer may not be dropped, only the next run is left.
  inputs.mAttemptsLeft =
    route.IsRetryable() ? base.mAttemptsLeft : (aRuns == aPlan.mRuns ? 1U : 0U);
  inputs.mIsContinuation = base.mIsContinuation;
  inputs.mRank = base.mRank;
  inputs.mPressure = base.mPressure;
  inputs.mCostRatio = CostRatioOf(aPlan.mConfig->FindService(aPlan.mService), route);
  inputs.mTimeToTarget = base.mTimeToTarget;
  inputs.mLargestLatency = base.mExpectedLatency;
  // While the smallest model's latency is unknown, that of the largest is an upper bound.
  inputs.mSmallestLatency = mLatencies.Mean(KindOf(aPlan, 0), base.mExpectedLatency);
  if (aPlan.mRuns == 0) {
    const auto age = Until(aNow, aPlan.mArrival);
    inputs.mDelay = std::max(milliseconds(0), age - inputs.mSmallestLatency);
  }
  inputs.mClass = route.Class();
  inputs.mPromptTokens = aPlan.mPromptTokens;
  inputs.mOutputTokens = aPlan.mMaxOutputTokens;
  return inputs;
}

ModelChoice::First FleetRouter::ChooseModel(const RequestPlan& aPlan, TimePoint aNow)
{
  if (aPlan.mSize) {
    return { *aPlan.mSize, ModelReason::Continuation };
  }
  if (aPlan.mWantsLargest) {
    return { aPlan.mRoute->mSizes.size() - 1, ModelReason::AnswerDropped };
  }
  if (!UsesFleetLoad(aPlan.mService)) {
    return { ModelSizePolicy::FirstModel(SizeInputsOf(aPlan, aPlan.mRuns, aNow)),
             ModelReason::None };
  }
  return mModelChoice.ChooseFirst(ModelInputsOf(aPlan, aPlan.mRuns, aNow), aNow);
}

AttemptPlan FleetRouter::PlanFor(const RequestPlan& aPlan, const FleetRow& aRow, TimePoint aNow)
{
  const auto& route = *aPlan.mRoute;
  AttemptPlan attempt;
  attempt.mNumber = ++mAttempts;
  attempt.mPlannedAt = aNow;
  attempt.mEndpoint = aRow.mEntry.mId;
  attempt.mIncarnationStart = aRow.mEntry.mIncarnationStart;
  attempt.mAddress = aRow.mEntry.mAddress;
  attempt.mZone = aRow.mEntry.mZone;
  if (mZones.IsInForce()) {
    attempt.mConnectTimeout = mZones.ConnectTimeout(attempt.mZone);
    attempt.mIsInAvoidedZone = mZones.IsAvoided(attempt.mZone);
    attempt.mNeedsNewConnection = mZones.IsSuspected(attempt.mZone);
  }
  attempt.mVersion = aRow.mEntry.mVersion;
  attempt.mPriority = std::min(aPlan.mPriority, kLowestPriority);
  if (aPlan.mChoosesSize) {
    const auto first = ChooseModel(aPlan, aNow);
    attempt.mSize = first.mSize;
    attempt.mModelReason = first.mReason;
    attempt.mModel = route.mSizes[*attempt.mSize];
  }
  const auto* service = aPlan.mConfig->FindService(aPlan.mService);
  if (service != nullptr && service->mMaxConnections > 0) {
    const auto share = service->mMaxConnections / static_cast<std::uint32_t>(mInstances);
    attempt.mConnectionLimit = std::max(share, 1U);
  }
  attempt.mLatencyKind = KindOf(aPlan, attempt.mSize);
  return attempt;
}

FleetRouter::Decision FleetRouter::NextAttempt(RequestPlan& aPlan,
                                               bool aWantsLargest,
                                               TimePoint aNow)
{
  const auto& route = *aPlan.mRoute;
  if (aNow >= aPlan.mEnd) {
    return Refuse(aPlan, RefusalReason::DeadlinePassed, aNow);
  }
  if (aPlan.mRuns > 0 && (!route.IsRetryable() || aPlan.mRuns >= aPlan.mMaxRuns)) {
    return Refuse(aPlan, RefusalReason::BudgetSpent, aNow);
  }
  if (aPlan.mSends >= kMaxSends) {
    return Refuse(aPlan, RefusalReason::Overloaded, aNow);
  }
  if (IsSuspect(aPlan, aNow) || mPartSuspects.IsRefused(aPlan.mSharedParts, aNow)) {
    return Refuse(aPlan, RefusalReason::CrashesEndpoints, aNow);
  }
  if (PrefersForwarding(aPlan, aNow)) {
    if (auto forward = PlanForward(aPlan, aNow)) {
      return *forward;
    }
  }
  if (aPlan.mIsForwarded && aPlan.mNotReached >= kMaxNotReached) {
    return Refuse(aPlan, RefusalReason::NoEndpoint, aNow);
  }
  auto rows = mEndpoints.OpenRows(aPlan.mService);
  Trace(CandidateStep::Open, rows);
  mFilter.RemoveForbidden(rows, aPlan);
  Trace(CandidateStep::Region, rows);
  const bool isInLoadTrial =
    mRollouts.SelectVersion(aPlan.mService, aPlan.mSession, rows, aNow, TrialOf(aPlan, aNow));
  Trace(CandidateStep::Version, rows);
  auto permitted = rows;
  mFilter.RemoveBusy(
    Limits(), permitted, aPlan, [this] { return Draw(); }, aNow);
  Trace(CandidateStep::Busy, permitted);
  if (permitted.empty() && !rows.empty()) {
    return RefuseLimited(aPlan, rows, aNow);
  }
  if (mZones.IsInForce() && !mForwarding.IsPartitioned()) {
    auto selection = SelectZones(aPlan, permitted, aWantsLargest, aNow);
    if (selection.mAreAllAvoided && !aPlan.mIsForwarded && aPlan.mForwards < kMaxZoneForwards) {
      if (auto forward = PlanForward(aPlan, aNow, ZonesOf(selection.mRows))) {
        return *forward;
      }
    }
    permitted = std::move(selection.mRows);
    Trace(CandidateStep::Zone, permitted);
  }
  const bool usesAdmission = UsesAdmission(aPlan.mService);
  if (usesAdmission) {
    if (const auto held = mAdmission.RemoveFull(permitted, aPlan, aWantsLargest, aNow)) {
      Trace(CandidateStep::Room, {});
      return std::visit([](const auto& aHeld) { return Decision(aHeld); }, *held);
    }
  }
  Trace(CandidateStep::Room, permitted);
  auto* row = ChooseRow(aPlan, permitted, aNow);
  if (row == nullptr) {
    const bool areFull = aPlan.mWasRejected && UsesFleetLoad(aPlan.mService);
    return Refuse(
      aPlan, areFull ? RefusalReason::EndpointsLimited : RefusalReason::NoEndpoint, aNow);
  }
  if (!TakeBudget(aPlan, aNow)) {
    return Refuse(aPlan, RefusalReason::BudgetSpent, aNow);
  }
  mPartSuspects.TakeTrial(aPlan.mSharedParts, aNow);
  row->OnPlanned(aNow);
  if (usesAdmission) {
    mAdmission.OnPlanned(aPlan, *row, aNow);
  }
  mFilter.OnRequest(Limits(), *row, aPlan, aNow);
  aPlan.mWantsLargest = aPlan.mWantsLargest || aWantsLargest;
  auto attempt = PlanFor(aPlan, *row, aNow);
  attempt.mIsInLoadTrial = isInLoadTrial;
  return attempt;
}

/** Returns for which endpoints a request may be used in a load trial: those that it has not tried,
    and that would not let it wait. */
TrialRequest FleetRouter::TrialOf(const RequestPlan& aPlan, TimePoint aNow)
{
  return { aPlan.mPromptTokens, [this, &aPlan, aNow](FleetRow& aRow) {
            const auto& tried = aPlan.mTried;
            return std::find(tried.begin(), tried.end(), aRow.mEntry.mId) == tried.end() &&
                   aRow.mNotices.Allows(aNow) && aRow.mHealth.Allows(aNow) &&
                   (!UsesAdmission(aPlan.mService) || mAdmission.HasSpareRoom(aRow, aNow));
          } };
}

void FleetRouter::Trace(CandidateStep aStep, const std::vector<FleetRow*>& aRows) const
{
  if (mTrace != nullptr) {
    mTrace->OnStep(aStep, aRows);
  }
}

/** Returns whether requests to a service wait at this instance while its endpoints have no room. */
bool FleetRouter::UsesAdmission(const ServiceName& aService) const
{
  return UsesFleetLoad(aService) && !mBrittle.IsBrittle(aService);
}

std::vector<std::uint64_t> FleetRouter::ReleaseWaiting(TimePoint aNow)
{
  std::vector<std::uint64_t> tickets;
  for (const auto& it : mAdmission.WaitingServices()) {
    auto rows = mEndpoints.OpenRows(it);
    // Where no endpoint is left, the next attempt is refused at once or goes through another
    // instance.
    const bool isUseless = rows.empty();
    std::erase_if(rows, [&](FleetRow* aRow) { return !aRow->mNotices.Allows(aNow); });
    // Placement uses endpoints with recent failures if there are no others, too.
    const bool areAllAvoided = std::none_of(
      rows.begin(), rows.end(), [&](FleetRow* aRow) { return aRow->mHealth.Allows(aNow); });
    std::erase_if(rows,
                  [&](FleetRow* aRow) { return !areAllAvoided && !aRow->mHealth.Allows(aNow); });
    const auto released =
      isUseless ? mAdmission.ReleaseAll(it) : mAdmission.Release(it, rows, aNow);
    tickets.insert(tickets.end(), released.begin(), released.end());
  }
  return tickets;
}

FleetRow* FleetRouter::ChooseRow(const RequestPlan& aPlan,
                                 const std::vector<FleetRow*>& aRows,
                                 TimePoint aNow)
{
  const auto& route = *aPlan.mRoute;
  PlacementRequest request{ aPlan.mAffinity, mZone, aPlan.mTried, mRandom(), route.IsRetryable() };
  if (!UsesFleetLoad(aPlan.mService)) {
    return PlacementPolicy::Choose(aRows, request, aNow);
  }
  if (std::any_of(aRows.begin(), aRows.end(), [](auto* aRow) { return !aRow->mUsesFleetLoad; })) {
    UpdateFleetLoads(aNow);
  }
  std::optional<std::size_t> size;
  if (aPlan.mChoosesSize) {
    size = aPlan.mSize.value_or(aPlan.mWantsLargest ? route.mSizes.size() - 1 : 0);
  }
  const auto prompt = milliseconds(aPlan.mPromptTokens / kDefaultTokensPerMs);
  return mFinishTimePlacement.Choose(
    aRows,
    { std::move(request),
      mLatencies.Mean(KindOf(aPlan, size), kDefaultLatency + prompt),
      Until(aPlan.mTarget, aNow),
      milliseconds(aPlan.mSharedTokens / kDefaultTokensPerMs),
      // Admission has already left out the endpoints without room.
      aPlan.mWasRejected && !UsesAdmission(aPlan.mService) },
    aNow);
}

/** Counts a first attempt, or takes a retry from the budget. The first attempt at a request that
    another instance forwards was counted there.
    @returns false when the budget is spent */
bool FleetRouter::TakeBudget(RequestPlan& aPlan, TimePoint aNow)
{
  auto& window = mRetryWindows[aPlan.mService];
  if (!std::exchange(aPlan.mIsCounted, true)) {
    if (!aPlan.mIsForwarded) {
      window.OnFirstAttempt(aNow, mBounds.mRetry);
      mHedging.OnRequest(aPlan.mService);
    }
    return true;
  }
  const bool isRetry = aPlan.mSends > 0 || aPlan.mRuns > 0;
  return !isRetry || window.TakeRetry(aNow, mBounds.mRetry, mInstances);
}

/** Returns whether a request is to go through another instance, because this one does not reach the
    endpoints. */
bool FleetRouter::PrefersForwarding(const RequestPlan& aPlan, TimePoint aNow)
{
  if (aPlan.mIsForwarded || aPlan.mForwards >= kMaxForwards) {
    return false;
  }
  if (aPlan.mNotReached >= kMaxNotReached) {
    return true;
  }
  // A request that fails to reach an endpoint has not run, so that any request may be the test.
  const bool mayProbe = aPlan.mNotReached == 0 && aPlan.mRuns == 0;
  return mForwarding.IsPartitioned() && !(mayProbe && mForwarding.TakeProbe(aNow));
}

/** Returns the endpoints that a request may use by their zones. */
ZoneSelection FleetRouter::SelectZones(const RequestPlan& aPlan,
                                       const std::vector<FleetRow*>& aRows,
                                       bool aWantsLargest,
                                       TimePoint aNow)
{
  const bool mayProbe = !aWantsLargest && aPlan.mRuns == 0 && aPlan.mNotReached == 0 &&
                        aPlan.mForwards == 0 && !aPlan.mIsForwarded && !aPlan.mIsContinuation;
  return mZones.Select(aRows,
                       { mZone,
                         aPlan.mTried,
                         aPlan.mZonesNotReached,
                         mayProbe,
                         Until(aPlan.mTarget, aNow),
                         Until(aPlan.mEnd, aNow) },
                       aNow);
}

void FleetRouter::OnZoneReached(const ZoneName& aZone, TimePoint aNow)
{
  if (!mZones.OnReached(aZone, aNow)) {
    return;
  }
  for (auto& [id, row] : mEndpoints.All()) {
    if (row.mEntry.mZone == aZone) {
      row.mHealth.OnPartitionEnded();
    }
  }
}

/** Records that an endpoint could not be reached, unless this is explained: it leaves or has
   started again. */
void FleetRouter::OnZoneNotReached(const EndpointId& aEndpoint,
                                   const std::string& aIncarnation,
                                   bool aIsConnectFailure,
                                   TimePoint aNow)
{
  const auto* row = mZones.IsInForce() ? mEndpoints.Find(aEndpoint) : nullptr;
  if (row == nullptr || !row->IsOpen() || mEndpoints.IsEvacuated(row->mEntry.mZone) ||
      row->mEntry.Incarnation() != aIncarnation) {
    return;
  }
  const auto& rows = mEndpoints.All();
  const auto count = std::count_if(rows.begin(), rows.end(), [&](const auto& aEntry) {
    return aEntry.second.IsOpen() && aEntry.second.mEntry.mZone == row->mEntry.mZone;
  });
  mZones.OnNotReached(row->mEntry, aIsConnectFailure, static_cast<std::size_t>(count), aNow);
}

std::optional<AttemptPlan> FleetRouter::PlanForward(RequestPlan& aPlan,
                                                    TimePoint aNow,
                                                    const std::vector<ZoneName>& aZones)
{
  const auto mayReceive = [&](const ZoneName& aPeer) {
    return mFilter.MayForward(aPlan, mZone, aPeer);
  };
  auto* peer = mForwarding.Choose(mRandom(), aNow, aZones, mayReceive, aPlan.mTried);
  if (peer == nullptr || !TakeBudget(aPlan, aNow)) {
    return std::nullopt;
  }
  ++peer->mOutstanding;
  ++aPlan.mForwards;
  AttemptPlan attempt;
  attempt.mNumber = ++mAttempts;
  attempt.mPeer = peer->mName;
  attempt.mEndpoint = EndpointId(peer->mName);
  attempt.mAddress = peer->mAddress;
  attempt.mLatencyKind = KindOf(aPlan, std::nullopt);
  return attempt;
}

void FleetRouter::OnReached()
{
  if (!mForwarding.OnReached()) {
    return;
  }
  for (auto& [id, row] : mEndpoints.All()) {
    row.mHealth.OnPartitionEnded();
  }
}

void FleetRouter::OnNotReached(RequestPlan& aPlan, const AttemptPlan& aAttempt, TimePoint aNow)
{
  ++aPlan.mNotReached;
  mForwarding.OnNotReached(aAttempt.mEndpoint, mEndpoints.All().size(), aNow);
}

void FleetRouter::OnForwardEnded(RequestPlan& aPlan,
                                 const AttemptPlan& aAttempt,
                                 RelayOutcome aOutcome,
                                 TimePoint aNow)
{
  const bool wasRejected =
    aOutcome == RelayOutcome::Unreachable || aOutcome == RelayOutcome::NotRun;
  aPlan.mRuns += MayHaveRun(aOutcome) ? 1 : 0;
  if (IsFailure(aOutcome)) {
    aPlan.mTried.push_back(aAttempt.mEndpoint);
  }
  mForwarding.OnEnded(aAttempt.mPeer, wasRejected, aNow);
}

std::optional<AttemptPlan> FleetRouter::ReplaceSilentAttempt(const RequestPlan& aPlan,
                                                             const AttemptPlan& aSilent,
                                                             TimePoint aNow)
{
  auto plan = aPlan;
  ++plan.mRuns;
  plan.mTried.push_back(aSilent.mEndpoint);
  auto decision = NextAttempt(plan, false, aNow);
  auto* attempt = std::get_if<AttemptPlan>(&decision);
  return attempt == nullptr ? std::nullopt : std::optional(std::move(*attempt));
}

void FleetRouter::OnSilence(const RequestPlan& aPlan, AttemptPlan& aAttempt, TimePoint aNow)
{
  aAttempt.mIsSilenceCounted = true;
  if (!aAttempt.IsForwarded()) {
    mForwarding.OnNotReached(aAttempt.mEndpoint, mEndpoints.All().size(), aNow);
    OnZoneNotReached(aAttempt.mEndpoint, aAttempt.Incarnation(), false, aNow);
  }
  if (auto* row = mEndpoints.Find(aAttempt.mEndpoint)) {
    row->mHealth.OnFailure(aNow, OthersFailureRate(aPlan.mService, aAttempt.mEndpoint, aNow));
  }
}

bool FleetRouter::MayAttemptLater(const RequestPlan& aPlan, RefusalReason aReason) const
{
  if (!aPlan.mRoute->IsRetryable() || aPlan.mRuns >= aPlan.mMaxRuns || aPlan.mSends >= kMaxSends) {
    return false;
  }
  return aReason == RefusalReason::NoEndpoint || aReason == RefusalReason::EndpointsLimited ||
         aReason == RefusalReason::BudgetSpent;
}

void FleetRouter::OnSent(RequestPlan& aPlan, const AttemptPlan& aAttempt, TimePoint aNow)
{
  if (aAttempt.IsForwarded()) {
    return;
  }
  ++aPlan.mSends;
  if (!aAttempt.mIsConnectionReused) {
    mZones.OnConnected(
      aAttempt.mZone,
      std::chrono::duration_cast<std::chrono::microseconds>(aNow - aAttempt.mPlannedAt));
  }
  mRollouts.OnSent(aPlan.mService, aAttempt.mVersion, aPlan.mSession, aNow);
  const auto* order = mRollouts.Order(aPlan.mService);
  if (order != nullptr && order->mState == RolloutState::Running) {
    AwaitedAnswer answer{
      aPlan.mService, aAttempt.mVersion, aPlan.mRoute->Class(), aAttempt.mLatencyKind, aNow
    };
    const auto* row = mEndpoints.Find(aAttempt.mEndpoint);
    answer.mIsInLoadTrial =
      row != nullptr && aAttempt.mIsInLoadTrial && LoadTrial::IsLoaded(*row, aNow);
    mAwaited[aAttempt.mNumber] = std::move(answer);
  }
}

/** Counts the answers that are slow already, without waiting until they begin or are given up. */
void FleetRouter::CountOverdueAnswers(TimePoint aNow)
{
  for (auto& [number, answer] : mAwaited) {
    const auto age = std::chrono::duration_cast<std::chrono::microseconds>(aNow - answer.mSentAt);
    if (answer.mIsInLoadTrial) {
      if (!answer.mHasBegun) {
        CountTrialAnswer(answer, {}, mLatencies.RelativeLatency(answer.mLatencyKind, age), false);
      }
      continue;
    }
    if (!answer.mIsCounted &&
        mLatencies.RelativeLatency(answer.mLatencyKind, age) > kSlowLatencyFactor) {
      answer.mIsCounted = true;
      mRollouts.OnAnswer(answer.mService, answer.mVersion, answer.mClass, { 1, 0, 1 });
    }
  }
}

/** Counts what has become known of an answer of the load trial.
    @param aCounts  in the sum of all answers
    @param aRelative  relative latency, or so far
    @param aHasBegun  whether the latency is final */
void FleetRouter::CountTrialAnswer(AwaitedAnswer& aAnswer,
                                   const VersionCounts& aCounts,
                                   double aRelative,
                                   bool aHasBegun)
{
  TrialAnswer trial;
  bool isNew = aHasBegun;
  for (std::size_t n = 0; n < kTrialSlowFactors.size(); ++n) {
    const bool isSlow = aRelative > kTrialSlowFactors[n];
    if ((isSlow || aHasBegun) && !std::exchange(aAnswer.mIsLevelCounted[n], true)) {
      trial[n] = { 1, 0, isSlow ? 1U : 0U };
      isNew = true;
    }
  }
  if (isNew) {
    mRollouts.OnTrialAnswer(aAnswer.mService, aAnswer.mVersion, aAnswer.mClass, aCounts, trial);
  }
}

/** Forgets an answer.
    @returns what was known of it */
FleetRouter::AwaitedAnswer FleetRouter::EndWait(const AttemptPlan& aAttempt)
{
  const auto found = mAwaited.extract(aAttempt.mNumber);
  return found.empty() ? AwaitedAnswer{} : found.mapped();
}

void FleetRouter::OnFirstByte(const RequestPlan& aPlan,
                              const AttemptPlan& aAttempt,
                              std::chrono::microseconds aLatency,
                              TimePoint aNow)
{
  if (aAttempt.IsForwarded()) {
    return;
  }
  OnReached();
  OnZoneReached(aAttempt.mZone, aNow);
  const double relative = mLatencies.RelativeLatency(aAttempt.mLatencyKind, aLatency);
  if (auto* row = mEndpoints.Find(aAttempt.mEndpoint)) {
    row->mHealth.OnSuccess(aNow, relative);
    if (row->mUsesFleetLoad && row->mEntry.mIncarnationStart == aAttempt.mIncarnationStart) {
      row->mPace.OnAnswer(relative, aNow);
    }
  }
  const auto* order = mRollouts.Order(aPlan.mService);
  const bool isTarget = order != nullptr && order->mState == RolloutState::Running &&
                        order->mTarget == aAttempt.mVersion;
  if (!isTarget) {
    mLatencies.Record(aAttempt.mLatencyKind, aLatency);
    RecordHedgeLatency(aPlan, aAttempt, aLatency);
  }
  const std::uint64_t slow = relative > kSlowLatencyFactor ? 1 : 0;
  const auto awaited = mAwaited.find(aAttempt.mNumber);
  if (awaited == mAwaited.end()) {
    mRollouts.OnAnswer(aPlan.mService, aAttempt.mVersion, aPlan.mRoute->Class(), { 1, 0, slow });
    return;
  }
  auto& answer = awaited->second;
  if (answer.mIsInLoadTrial) {
    CountTrialAnswer(answer, { 1, 0, 0 }, relative, true);
  } else if (!answer.mIsCounted) {
    mRollouts.OnAnswer(answer.mService, answer.mVersion, answer.mClass, { 1, 0, slow });
  }
  answer.mHasBegun = true;
}

void FleetRouter::OnLoad(const EndpointId& aEndpoint, const ReportedLoad& aLoad, TimePoint aNow)
{
  if (auto* row = mEndpoints.Find(aEndpoint)) {
    row->OnReport(aLoad, aNow, aNow);
    mBrittle.OnReport(*row, IsEngine(row->mEntry.mService), aNow);
    mAdmission.OnReport(*row);
  }
}

void FleetRouter::OnLoad(const AttemptPlan& aAttempt, const ReportedLoad& aLoad, TimePoint aNow)
{
  const auto* row = mEndpoints.Find(aAttempt.mEndpoint);
  if (row != nullptr && row->mEntry.mIncarnationStart == aAttempt.mIncarnationStart) {
    OnLoad(aAttempt.mEndpoint, aLoad, aNow);
  }
}

NoticeChange FleetRouter::OnNotice(const AttemptPlan& aAttempt,
                                   const EndpointNotice& aNotice,
                                   TimePoint aNow)
{
  auto* row = mEndpoints.Find(aAttempt.mEndpoint);
  if (row == nullptr || row->mEntry.mIncarnationStart != aAttempt.mIncarnationStart) {
    return {};
  }
  const auto change = row->mNotices.OnNotice(aNotice, aNow);
  if (aNotice.mCold) {
    row->mWarmth.OnStated(*aNotice.mCold, aNow);
  }
  if (change.mRejectionLimit) {
    mBrittle.Update(mEndpoints, aNow);
  }
  if (change.mLimit) {
    mEndpoints.UpdateLimitShares(mLimitShares, aNow);
  }
  return change;
}

/** Returns the mean failure rate of the other endpoints of a service. */
double FleetRouter::OthersFailureRate(const ServiceName& aService,
                                      const EndpointId& aEndpoint,
                                      TimePoint aNow) const
{
  double sum = 0;
  std::size_t count = 0;
  for (const auto& [id, row] : mEndpoints.All()) {
    if (row.mEntry.mService == aService && id != aEndpoint) {
      sum += row.mHealth.FailureRate(aNow);
      ++count;
    }
  }
  return count == 0 ? 0 : sum / static_cast<double>(count);
}

void FleetRouter::OnProgress(const RequestPlan& aPlan, TimePoint aNow)
{
  mPartSuspects.OnProof(aPlan.mSharedParts, aNow);
}

void FleetRouter::OnEndedEarly(const RequestPlan& aPlan,
                               const AttemptPlan& aAttempt,
                               RelayOutcome aOutcome,
                               TimePoint aNow)
{
  if (aAttempt.IsForwarded()) {
    return;
  }
  if (aOutcome == RelayOutcome::Lost) {
    mSuspects.OnLost({ aPlan.mFingerprint, aAttempt.Incarnation() }, aNow);
  }
  mPartSuspects.OnEndedEarly(aPlan.mSharedParts, aAttempt.Incarnation(), aNow);
}

std::vector<CrashSuspects::Crash> FleetRouter::OnEndpointDown(const EndpointId& aEndpoint,
                                                              const std::string& aIncarnation,
                                                              TimePoint aNow)
{
  if (auto* row = mEndpoints.Find(aEndpoint)) {
    row->mHealth.OnUnreachable(aNow);
    OnZoneNotReached(aEndpoint, aIncarnation, true, aNow);
    if (mZones.IsAvoided(row->mEntry.mZone)) {
      // The connections to the whole zone were lost, so the requests are not the cause.
      OnEndpointUp(aIncarnation);
      return {};
    }
  }
  mPartSuspects.OnEndpointDown(aIncarnation, aNow);
  return mSuspects.OnEndpointDown(aIncarnation, aNow);
}

void FleetRouter::OnEndpointUp(const std::string& aIncarnation)
{
  mSuspects.OnEndpointUp(aIncarnation);
  mPartSuspects.OnEndpointUp(aIncarnation);
}

void FleetRouter::OnEnded(RequestPlan& aPlan,
                          const AttemptPlan& aAttempt,
                          RelayOutcome aOutcome,
                          TimePoint aNow)
{
  if (aAttempt.IsForwarded()) {
    OnForwardEnded(aPlan, aAttempt, aOutcome, aNow);
    return;
  }
  if (MayHaveRun(aOutcome)) {
    ++aPlan.mRuns;
    mRollouts.OnEnded(aPlan.mService, aAttempt.mVersion, aPlan.mSession, aNow);
  }
  if (aOutcome == RelayOutcome::Unreachable || aOutcome == RelayOutcome::TimedOut ||
      aOutcome == RelayOutcome::Lost) {
    OnNotReached(aPlan, aAttempt, aNow);
    const bool isConnectFailure = aOutcome == RelayOutcome::Unreachable;
    if (isConnectFailure && mZones.IsInForce()) {
      aPlan.mZonesNotReached.push_back(aAttempt.mZone);
    }
    if (!isConnectFailure || !aAttempt.mWasConnected) {
      OnZoneNotReached(aAttempt.mEndpoint, aAttempt.Incarnation(), isConnectFailure, aNow);
    }
    if (auto* row = mEndpoints.Find(aAttempt.mEndpoint)) {
      mBrittle.OnNotReached(*row, mEndpoints);
    }
  }
  if (aOutcome == RelayOutcome::NotRun || aOutcome == RelayOutcome::Failed) {
    OnZoneReached(aAttempt.mZone, aNow);
  }
  auto awaited = EndWait(aAttempt);
  const bool wasCountedSlow = awaited.mIsCounted && !awaited.mHasBegun;
  if (IsFailure(aOutcome)) {
    aPlan.mTried.push_back(aAttempt.mEndpoint);
  }
  auto* row = mEndpoints.Find(aAttempt.mEndpoint);
  if (row != nullptr) {
    row->mOutstanding -= std::min(row->mOutstanding, 1U);
    if (UsesAdmission(aPlan.mService)) {
      mAdmission.OnEnded(*row, aOutcome, aNow);
    }
  }
  switch (aOutcome) {
    case RelayOutcome::Answered:
      mSuspects.OnSuccess(aPlan.mFingerprint);
      mPartSuspects.OnAnswered(aPlan.mSharedParts, aAttempt.Incarnation(), aNow);
      return;
    case RelayOutcome::NotRun:
      aPlan.mWasRejected = true;
      if (row != nullptr && mBrittle.IsBrittle(aPlan.mService)) {
        mBrittle.OnRejected(*row, Draw(), aNow);
      }
      return;
    case RelayOutcome::Superseded:
    case RelayOutcome::Overtaken:
    case RelayOutcome::Abandoned:
    case RelayOutcome::Misdirected:
      return;
    case RelayOutcome::Failed:
      mRollouts.OnTrialAnswer(aPlan.mService,
                              aAttempt.mVersion,
                              aPlan.mRoute->Class(),
                              { 1, 1, 0 },
                              awaited.mIsInLoadTrial ? kFailedTrialAnswer : TrialAnswer{});
      break;
    case RelayOutcome::Unreachable:
      if (row != nullptr) {
        row->mHealth.OnUnreachable(aNow);
      }
      return;
    case RelayOutcome::TimedOut:
      // Otherwise only the answers that were quick enough would count.
      if (awaited.mIsInLoadTrial) {
        CountTrialAnswer(awaited, { 1, 0, 0 }, kTrialSlowFactors.back() + 1, true);
      } else if (!wasCountedSlow && !mForwarding.IsPartitioned() &&
                 !mZones.IsAvoided(aAttempt.mZone)) {
        mRollouts.OnAnswer(aPlan.mService, aAttempt.mVersion, aPlan.mRoute->Class(), { 1, 0, 1 });
      }
      break;
    case RelayOutcome::Lost:
    case RelayOutcome::Damaged:
      break;
  }
  if (row != nullptr && !aAttempt.mIsSilenceCounted) {
    row->mHealth.OnFailure(aNow, OthersFailureRate(aPlan.mService, aAttempt.mEndpoint, aNow));
  }
}

bool FleetRouter::NeedsLargerModel(const RequestPlan& aPlan,
                                   const AttemptPlan& aAttempt,
                                   double aConfidence,
                                   TimePoint aNow) const
{
  const auto& route = *aPlan.mRoute;
  if (!aAttempt.mSize || !aPlan.mChoosesSize || !route.IsRetryable()) {
    return false;
  }
  if (UsesFleetLoad(aPlan.mService)) {
    const auto inputs = ModelInputsOf(aPlan, aPlan.mRuns + 1, aNow);
    return *aAttempt.mSize + 1 < route.mSizes.size() &&
           mModelChoice.ReasonFor(inputs, aConfidence, aNow) == ModelReason::LowConfidence;
  }
  const auto inputs = SizeInputsOf(aPlan, aPlan.mRuns + 1, aNow);
  return ModelSizePolicy::NeedsLargerModel(inputs, *aAttempt.mSize, aConfidence);
}

bool FleetRouter::JudgeConfidence(RequestPlan& aPlan,
                                  AttemptPlan& aAttempt,
                                  double aConfidence,
                                  TimePoint aNow)
{
  const auto& route = *aPlan.mRoute;
  if (!aAttempt.mSize || !aPlan.mChoosesSize || !UsesFleetLoad(aPlan.mService)) {
    return NeedsLargerModel(aPlan, aAttempt, aConfidence, aNow);
  }
  if (*aAttempt.mSize + 1 >= route.mSizes.size()) {
    if (aPlan.mDroppedConfidence) {
      mModelChoice.OnLargerAnswer(route.Class(), *aPlan.mDroppedConfidence, aConfidence, aNow);
    }
    return false;
  }
  const auto inputs = ModelInputsOf(aPlan, aPlan.mRuns + 1, aNow);
  aAttempt.mAnswerReason = mModelChoice.JudgeAnswer(inputs, aConfidence, aNow);
  if (aAttempt.mAnswerReason != ModelReason::LowConfidence) {
    return false;
  }
  aPlan.mDroppedConfidence = aConfidence;
  return true;
}

void FleetRouter::OnAnswerKept(RequestPlan& aPlan, AttemptPlan& aAttempt)
{
  aPlan.mDroppedConfidence.reset();
  if (aAttempt.mAnswerReason == ModelReason::LowConfidence) {
    aAttempt.mAnswerReason = ModelReason::NoAttempt;
  }
}

std::optional<milliseconds> FleetRouter::FirstByteTimeout(const RequestPlan& aPlan,
                                                          const AttemptPlan& aAttempt,
                                                          TimePoint aNow) const
{
  const auto& route = *aPlan.mRoute;
  if (!route.IsRetryable() || aPlan.mRuns + 1 >= aPlan.mMaxRuns) {
    return std::nullopt;
  }
  if (aAttempt.IsForwarded()) {
    return kFullTimeout;
  }
  // When all endpoints are full, another one would not answer sooner and the work would be done
  // twice.
  if (aAttempt.mSize && mEndpoints.Pressure(aPlan.mService, aNow) >= kFullPressure) {
    return kFullTimeout;
  }
  const auto usual =
    mLatencies.Mean(aAttempt.mLatencyKind, milliseconds(0)) * kFirstByteTimeoutFactor;
  const auto least = aAttempt.mSize ? kMinEngineFirstByteTimeout : kMinFirstByteTimeout;
  return std::max(least, std::chrono::duration_cast<milliseconds>(usual));
}

milliseconds FleetRouter::StreamPauseTimeout(const RequestPlan& aPlan, TimePoint aNow) const
{
  const bool isFull = mEndpoints.Pressure(aPlan.mService, aNow) >= kFullPressure;
  return std::max<milliseconds>(isFull ? kFullTimeout : kMinPauseTimeout,
                                aPlan.mRoute->mMaxEventGap * kPauseTimeoutFactor);
}

std::map<ServiceName, RetryWindow::Usage> FleetRouter::RetryUsages(TimePoint aNow) const
{
  std::map<ServiceName, RetryWindow::Usage> uses;
  for (const auto& [service, window] : mRetryWindows) {
    uses[service] = window.UsageAt(aNow, mBounds.mRetry, mInstances);
  }
  return uses;
}

bool FleetRouter::UsesFleetLoad(const ServiceName& aService) const
{
  const auto* service = mConfig ? mConfig->FindService(aService) : nullptr;
  return service != nullptr && (service->mColdRate > 0 || mEndpoints.StatesPace(aService));
}

void FleetRouter::UpdateInstanceBound(const InstanceBound::View& aView, TimePoint aNow)
{
  mInstanceBound.Update(aView, aNow);
  mPacing.SetInstances(aView.mSelf, mInstanceBound.Possible());
}

bool FleetRouter::IsColdShareUnknown() const
{
  return mBounds.mCold && !mPacing.IsShareKnown();
}

bool FleetRouter::IsCold(FleetRow& aRow, TimePoint aNow) const
{
  return mConfig && mPacing.IsCold(aRow, mConfig->FindService(aRow.mEntry.mService), aNow);
}

std::vector<std::pair<EndpointId, milliseconds>> FleetRouter::TakeBecameCold(TimePoint aNow)
{
  return mConfig ? mPacing.TakeBecameCold(mEndpoints, *mConfig, aNow)
                 : std::vector<std::pair<EndpointId, milliseconds>>{};
}

void FleetRouter::UpdateFleetLoads(TimePoint aNow)
{
  std::map<ServiceName, bool> services;
  for (auto& [id, row] : mEndpoints.All()) {
    const auto [found, isNew] = services.try_emplace(row.mEntry.mService, false);
    if (isNew) {
      found->second = UsesFleetLoad(row.mEntry.mService);
    }
    row.mUsesFleetLoad = found->second;
  }
  mEndpoints.UpdateTypicalLoads(aNow);
}

void FleetRouter::SetInstances(std::size_t aInstances)
{
  mInstances = std::max<std::size_t>(aInstances, 1);
  mRollouts.SetInstances(mInstances);
  mEndpoints.SetInstances(mInstances);
  mBrittle.SetInstances(mInstances);
  mAdmission.SetInstances(mInstances);
}

void FleetRouter::SetInstances(InstanceId aSelf, const std::vector<InstanceId>& aOthers)
{
  SetInstances(aOthers.size() + 1);
  mPartSuspects.SetInstances(aSelf, aOthers);
  mForwarding.KeepPeers(aOthers);
  mLimitShares.SetInstances(std::move(aSelf), aOthers);
}

std::vector<EndpointId> FleetRouter::Tick(TimePoint aNow)
{
  CountOverdueAnswers(aNow);
  UpdateFleetLoads(aNow);
  mEndpoints.UpdateLimitShares(mLimitShares, aNow);
  mBrittle.Update(mEndpoints, aNow);
  mRollouts.Prune(aNow);
  mSuspects.Prune(aNow);
  mPartSuspects.Prune(aNow);
  mAdmission.Prune(mEndpoints);
  mZones.Prune(mEndpoints, aNow);
  return mEndpoints.DropExpired(aNow);
}

} // namespace skylarkchute
