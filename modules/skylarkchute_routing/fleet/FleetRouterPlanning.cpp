#include "FleetRouter.h"

#include "PlacementPolicy.h"
#include "RequestTimes.h"

#include <algorithm>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

/** Maximum number of attempts of a request that are sent to endpoints, whether they run or not. */
constexpr std::uint32_t kMaxSends = 4;

/** Maximum number of attempts through another instance because all endpoints of a service are in
    zones that this one does not reach. The endpoints are tried after that. */
constexpr std::uint32_t kMaxZoneForwards = 2;

/** Engine priorities range from 0, the most urgent, to 9. */
constexpr std::uint32_t kLowestPriority = 9;

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

/** Returns a random number, 0 to 1. */
double FleetRouter::Draw()
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom);
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
  attempt.mLatencyKind = LatencyKindOf(aPlan, attempt.mSize);
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
  mRollouts.SelectVersion(aPlan.mService, aPlan.mSession, rows, aNow);
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
  return PlanFor(aPlan, *row, aNow);
}

void FleetRouter::Trace(CandidateStep aStep, const std::vector<FleetRow*>& aRows) const
{
  if (mTrace != nullptr) {
    mTrace->OnStep(aStep, aRows);
  }
}

std::vector<std::uint64_t> FleetRouter::ReleaseWaiting(TimePoint aNow)
{
  std::vector<std::uint64_t> tickets;
  for (const auto& it : mAdmission.WaitingServices()) {
    auto rows = mEndpoints.OpenRows(it);
    // Where no endpoint is left, the next attempt is refused at once or goes through another
    // instance.
    const bool isUseless = rows.empty();
    const auto* service = mConfig ? mConfig->FindService(it) : nullptr;
    std::erase_if(rows, [&](FleetRow* aRow) {
      return !aRow->mNotices.Allows(aNow) || !mPacing.Allows(*aRow, service, aNow);
    });
    const auto isInAvoidedZone = [&](const FleetRow* aRow) {
      return mZones.IsAvoided(aRow->mEntry.mZone);
    };
    // If all zones are avoided, the next attempt goes through another instance.
    if (!std::all_of(rows.begin(), rows.end(), isInAvoidedZone)) {
      std::erase_if(rows, isInAvoidedZone);
    }
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
      mLatencies.Mean(LatencyKindOf(aPlan, size), kDefaultLatency + prompt),
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

bool FleetRouter::MayAttemptLater(const RequestPlan& aPlan, RefusalReason aReason) const
{
  if (!aPlan.mRoute->IsRetryable() || aPlan.mRuns >= aPlan.mMaxRuns || aPlan.mSends >= kMaxSends) {
    return false;
  }
  return aReason == RefusalReason::NoEndpoint || aReason == RefusalReason::EndpointsLimited ||
         aReason == RefusalReason::BudgetSpent;
}

} // namespace skylarkchute
