#include "QuarantineSystem.h"

#include "../events/RoutingEvents.h"

#include <algorithm>

namespace skylarkchute {

namespace {

/** Number of crashes after which a fingerprint is quarantined. */
constexpr std::uint32_t kCrashesToQuarantine = 2;
/** Time allowed for alerts of peers to arrive before a suspect is tried. */
constexpr std::chrono::milliseconds kAlertPropagationDelay{ 250 };
constexpr std::chrono::milliseconds kRecheckDelay{ 50 };
/** A trial may use up to this multiple of the slots of an endpoint: under load the router never
    observes a free slot. */
constexpr double kTrialOvercommitFactor = 1.5;
constexpr std::chrono::hours kQuarantineDuration{ 24 };
/** Duration when several fingerprints reach the threshold at one crash, of which at most one is the
    cause. */
constexpr std::chrono::minutes kSharedQuarantineDuration{ 10 };

bool Hosts(const PoolRow& aPool, const EndpointId& aEndpoint)
{
  return std::find(aPool.mHosting.begin(), aPool.mHosting.end(), aEndpoint) != aPool.mHosting.end();
}

} // namespace

QuarantineDecision QuarantineSystem::Check(RequestRow& aRow, const PoolRow& aPool, TimePoint aNow)
{
  const auto& fingerprint = aRow.mFacts.mFingerprint;
  if (fingerprint.IsEmpty()) {
    return UseAnyEndpoint{};
  }
  if (IsQuarantined(fingerprint, aNow)) {
    return RefuseRequest{};
  }
  const auto live = mTables.mSuspects.mLiveFingerprints.find(fingerprint);
  const auto* suspect = mTables.mSuspects.Find(fingerprint);
  if (suspect == nullptr) {
    const bool isShared = live != mTables.mSuspects.mLiveFingerprints.end() &&
                          !mTables.mSuspects.HasCompleted(fingerprint) &&
                          Hosts(aPool, live->second.mEndpoint);
    return isShared ? QuarantineDecision(RequireEndpoint{ live->second.mEndpoint })
                    : QuarantineDecision(UseAnyEndpoint{});
  }
  if (aRow.mSuspectSince == TimePoint{}) {
    aRow.mSuspectSince = aNow;
  }
  if (aNow < aRow.mSuspectSince + kAlertPropagationDelay) {
    return DelayUntil{ aRow.mSuspectSince + kAlertPropagationDelay };
  }
  if (live != mTables.mSuspects.mLiveFingerprints.end()) {
    return DelayUntil{ aNow + kRecheckDelay };
  }
  const auto* endpoint = TrialEndpoint(aRow, *suspect, aPool, aNow);
  return endpoint == nullptr ? QuarantineDecision(DelayUntil{ aNow + kRecheckDelay })
                             : QuarantineDecision(TryOnEndpoint{ *endpoint });
}

bool QuarantineSystem::IsQuarantined(const Fingerprint& aFingerprint, TimePoint aNow)
{
  const auto* suspect = mTables.mSuspects.Find(aFingerprint);
  return suspect != nullptr && aNow < suspect->mQuarantinedUntil;
}

bool QuarantineSystem::IsSuspect(const Fingerprint& aFingerprint)
{
  return mTables.mSuspects.Find(aFingerprint) != nullptr;
}

bool QuarantineSystem::ShouldCancelAndRetry(const RequestRow& aRow)
{
  const auto& fingerprint = aRow.mFacts.mFingerprint;
  if (aRow.mNonIdempotent || aRow.mLiveAttempts.empty() ||
      mTables.mSuspects.HasCompleted(fingerprint)) {
    return false;
  }
  const auto* suspect = mTables.mSuspects.Find(fingerprint);
  if (suspect == nullptr) {
    return false;
  }
  return std::all_of(
    aRow.mLiveAttempts.begin(), aRow.mLiveAttempts.end(), [&](const AttemptRow& aAttempt) {
      return !aAttempt.mFirstTokenSeen && !aAttempt.mWhileSuspect &&
             !suspect->HasCrashed(aAttempt.mEndpoint);
    });
}

void QuarantineSystem::OnOpen(const RequestRow& aRow, const AttemptRow& aAttempt)
{
  if (aRow.mFacts.mFingerprint.IsEmpty()) {
    return;
  }
  auto& live = mTables.mSuspects.mLiveFingerprints[aRow.mFacts.mFingerprint];
  live.mEndpoint = aAttempt.mEndpoint;
  ++live.mCount;
}

void QuarantineSystem::OnClose(RequestRow& aRow,
                               const AttemptRow& aAttempt,
                               const AttemptOutcome* aOutcome,
                               TimePoint aNow)
{
  const auto& fingerprint = aRow.mFacts.mFingerprint;
  if (fingerprint.IsEmpty()) {
    return;
  }
  const auto live = mTables.mSuspects.mLiveFingerprints.find(fingerprint);
  if (live != mTables.mSuspects.mLiveFingerprints.end() && --live->second.mCount == 0) {
    mTables.mSuspects.mLiveFingerprints.erase(live);
  }
  if (aOutcome == nullptr) {
    return;
  }
  if (aOutcome->mEnd == AttemptEnd::ConnectFailed) {
    aRow.mSuspectSince = TimePoint{};
    return;
  }
  if (aOutcome->mEnd == AttemptEnd::Broken) {
    OnCrash(aRow, aAttempt.mEndpoint, aNow);
    return;
  }
  if (aOutcome->mEnd == AttemptEnd::Complete) {
    mTables.mSuspects.MarkCompleted(fingerprint);
    if (!IsQuarantined(fingerprint, aNow)) {
      mTables.mSuspects.Erase(fingerprint);
    }
  }
}

void QuarantineSystem::OnAlert(const RoutingAlert& aAlert, TimePoint aNow)
{
  if (!aAlert.mSuspect || aAlert.mCrashCount == 0) {
    return;
  }
  const bool isLive = mTables.mSuspects.mLiveFingerprints.find(*aAlert.mSuspect) !=
                      mTables.mSuspects.mLiveFingerprints.end();
  mTables.mWaitingChanged = mTables.mWaitingChanged || isLive;
  auto& suspect = mTables.mSuspects.Get(*aAlert.mSuspect, aNow);
  suspect.mReported = std::max(suspect.mReported, aAlert.mCrashCount);
  CountCrash(suspect, aAlert.mCrashedEndpoint, aNow);
  QuarantineAtThreshold(*aAlert.mSuspect, suspect, aNow);
}

void QuarantineSystem::OnCrash(RequestRow& aRow, const EndpointId& aEndpoint, TimePoint aNow)
{
  const auto& fingerprint = aRow.mFacts.mFingerprint;
  auto& suspect = mTables.mSuspects.Get(fingerprint, aNow);
  aRow.mSuspectSince = TimePoint{};
  CountCrash(suspect, aEndpoint, aNow);
  RoutingAlert alert;
  alert.mSuspect = fingerprint;
  alert.mCrashCount = suspect.Count();
  alert.mReason = "endpoint-crash";
  alert.mCrashedEndpoint = aEndpoint;
  mTables.mReports.mAlerts.push_back(std::move(alert));
  QuarantineAtThreshold(fingerprint, suspect, aNow);
}

void QuarantineSystem::CountCrash(SuspectRow& aSuspect,
                                  const std::optional<EndpointId>& aEndpoint,
                                  TimePoint aNow)
{
  aSuspect.mLastCrash = aNow;
  if (aEndpoint && !aSuspect.HasCrashed(*aEndpoint) &&
      aSuspect.mCrashed.size() < kCrashesToQuarantine) {
    aSuspect.mCrashed.push_back(*aEndpoint);
  }
}

void QuarantineSystem::QuarantineAtThreshold(const Fingerprint& aFingerprint,
                                             SuspectRow& aSuspect,
                                             TimePoint aNow)
{
  if (aSuspect.Count() < kCrashesToQuarantine || aNow < aSuspect.mQuarantinedUntil) {
    return;
  }
  aSuspect.mQuarantinedUntil = aNow + kQuarantineDuration;
  mTables.mWaitingChanged = true;
  mTables.mReports.mEvents.push_back(
    { &kFingerprintQuarantined, { { "fingerprint", aFingerprint.Value() } } });
  if (aSuspect.mCrashed.empty()) {
    return;
  }
  const auto& endpoint = aSuspect.mCrashed.back();
  for (auto& it : mTables.mSuspects.All()) {
    auto& other = it.second;
    const bool shared = &other != &aSuspect && aNow < other.mQuarantinedUntil &&
                        other.HasCrashed(endpoint) &&
                        aNow - other.mLastCrash < kAlertPropagationDelay * 4;
    if (shared) {
      other.mQuarantinedUntil = std::min(other.mQuarantinedUntil, aNow + kSharedQuarantineDuration);
      aSuspect.mQuarantinedUntil = aNow + kSharedQuarantineDuration;
    }
  }
}

const EndpointId* QuarantineSystem::TrialEndpoint(const RequestRow& aRow,
                                                  const SuspectRow& aSuspect,
                                                  const PoolRow& aPool,
                                                  TimePoint aNow)
{
  const auto seed = StableHash(aRow.mFacts.mFingerprint.Value());
  const EndpointRow* best = nullptr;
  std::uint64_t bestHash = 0;
  for (const auto& it : aPool.mHosting) {
    const auto* endpoint = mTables.mEndpoints.Find(it);
    if (endpoint == nullptr || aSuspect.HasCrashed(it)) {
      continue;
    }
    if (aNow < endpoint->mUnreachableAt + kAlertPropagationDelay) {
      return nullptr;
    }
    const auto hash = StableHash(it.Value(), seed);
    if (endpoint->mBreaker.Allows(aNow) && (best == nullptr || hash > bestHash)) {
      best = endpoint;
      bestHash = hash;
    }
  }
  if (best == nullptr || HasLiveSuspect(best->mRecord.mId)) {
    return nullptr;
  }
  const double slots = best->Slots(mTables.mOptions.mDefaultSlots);
  return best->Load(aNow) < slots * kTrialOvercommitFactor ? &best->mRecord.mId : nullptr;
}

bool QuarantineSystem::HasLiveSuspect(const EndpointId& aEndpoint)
{
  const auto& live = mTables.mSuspects.mLiveFingerprints;
  return std::any_of(live.begin(), live.end(), [&](const auto& aItem) {
    return aItem.second.mEndpoint == aEndpoint && IsSuspect(aItem.first);
  });
}

} // namespace skylarkchute
