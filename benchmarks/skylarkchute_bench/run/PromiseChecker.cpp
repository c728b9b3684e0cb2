#include "PromiseChecker.h"

namespace skylarkchute {

namespace {

/** Equals the period (1 s) plus the lag (2 s) of the endpoint list in FleetRun.cpp. */
constexpr std::chrono::seconds kLeavingGrace{ 3 };
constexpr std::size_t kMaxReported = 20;

} // namespace

void PromiseChecker::OnStopped(std::size_t aInstance, const VersionId& aVersion)
{
  mStopped[aInstance].insert(aVersion);
}

void PromiseChecker::OnDispatch(const RequestRecord& aRecord,
                                const DispatchStep& aStep,
                                std::chrono::microseconds aLeavingFor)
{
  if (aRecord.mEnded) {
    AddViolation(aRecord, "work for a request that has ended");
  }
  if (aLeavingFor > kLeavingGrace) {
    AddViolation(aRecord, "work for a leaving endpoint");
  }
  if (!aStep.mVersion) {
    return;
  }
  const auto* version = mWorkload.mBundle->FindVersion(*aStep.mVersion);
  const auto* team = mWorkload.mBundle->FindTeam(aRecord.mTeam);
  if (version == nullptr || team == nullptr || !mWorkload.mBundle->Allows(*team, *version)) {
    AddViolation(aRecord, "version not allowed");
  }
  const auto stopped = mStopped.find(aRecord.mInstance);
  if (stopped != mStopped.end() && stopped->second.count(*aStep.mVersion) > 0) {
    AddViolation(aRecord, "work for a withdrawn version");
  }
  if (!aRecord.mSession) {
    return;
  }
  const auto pin = mPins.try_emplace(*aRecord.mSession, *aStep.mVersion).first;
  if (pin->second != *aStep.mVersion) {
    AddViolation(aRecord, "session moved to another version");
  }
}

void PromiseChecker::OnRefuse(const RequestRecord& aRecord, const RefuseStep& aStep)
{
  if (aRecord.mEnded) {
    AddViolation(aRecord, "refused after its end");
  }
  if (aStep.mVerdict == Verdict::NotRun && aRecord.mStartedAttempts > 0) {
    AddViolation(aRecord, "told not-run after it ran");
  }
}

void PromiseChecker::OnFinish(const RequestRecord& aRecord, bool aIsWholeAnswer)
{
  if (aRecord.mEnded) {
    AddViolation(aRecord, "answered twice");
  }
  if (!aIsWholeAnswer) {
    AddViolation(aRecord, "answered by a foreign or partial answer");
  }
}

void PromiseChecker::OnEnd(const RunRecord& aRun)
{
  for (const auto& it : aRun.mRequests) {
    if (!it.mEnded) {
      AddViolation(it, "never answered");
    }
    if (mWorkload.Class(it.mClass).mService && it.mStartedAttempts > 1) {
      AddViolation(it, "non-idempotent request ran twice");
    }
  }
}

std::optional<VersionId> PromiseChecker::PinOf(std::size_t aSession) const
{
  const auto it = mPins.find(aSession);
  return it == mPins.end() ? std::nullopt : std::optional<VersionId>(it->second);
}

void PromiseChecker::AddViolation(const RequestRecord& aRecord, const std::string& aViolation)
{
  if (mViolations.size() < kMaxReported) {
    mViolations.push_back("request " + std::to_string(aRecord.mNumber) + ": " + aViolation);
  }
}

} // namespace skylarkchute
