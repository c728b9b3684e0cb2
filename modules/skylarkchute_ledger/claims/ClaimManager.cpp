#include "ClaimManager.h"

#include "../events/LedgerEvents.h"

#include <algorithm>
#include <cassert>

namespace skylarkchute {

ClaimManager::ClaimManager(Options aOptions) : mOptions(std::move(aOptions)) {}

std::uint64_t ClaimManager::NewOperationId(const RequestId& aRequest)
{
  const auto operation = mNextOperationId++;
  mRequestOfOperation.emplace(operation, aRequest);
  return operation;
}

ClaimOutput ClaimManager::Claim(const ClaimRequest& aRequest, TimePoint aNow, WallTime aWallNow)
{
  assert(mPendingClaims.count(aRequest.mRequest) == 0 && mOwnClaims.count(aRequest.mRequest) == 0);
  ClaimOutput output;
  if (ResolveFromOwnClaims(aRequest, aNow, aWallNow, output)) {
    return output;
  }
  PendingClaim pending;
  pending.mRequest = aRequest;
  pending.mBackoff = mOptions.mInitialBackoff;
  const auto it = mPendingClaims.emplace(aRequest.mRequest, std::move(pending)).first;
  WriteClaim(it->second, output);
  return output;
}

bool ClaimManager::ResolveFromOwnClaims(const ClaimRequest& aRequest,
                                        TimePoint aNow,
                                        WallTime aWallNow,
                                        ClaimOutput& aOutput)
{
  const auto byKey = mOwnClaimsByKey.find({ aRequest.mTeam, aRequest.mKey });
  if (byKey == mOwnClaimsByKey.end()) {
    return false;
  }
  const auto& own = mOwnClaims.at(byKey->second);
  if (own.mState == OwnClaimState::Released || own.mExpires <= aWallNow) {
    return false;
  }
  PendingClaim pending;
  pending.mRequest = aRequest;
  pending.mGeneration = own.mGeneration;
  pending.mBackoff = mOptions.mInitialBackoff;
  pending.mExistingClaim = { mOptions.mSelf, byKey->second, own.mFingerprint, own.mExpires };
  pending.mEarliestExpiry = own.mExpires;
  const auto it = mPendingClaims.emplace(aRequest.mRequest, std::move(pending)).first;
  if (own.mFingerprint != aRequest.mFingerprint) {
    aOutput.mEvents.push_back({ &kClaimKeyReused, { { "team", aRequest.mTeam.Value() } } });
    CompleteClaim(it, ClaimResult::KeyReused, {}, aOutput);
    return true;
  }
  QueryClaimant(it, aNow, aOutput);
  return true;
}

void ClaimManager::WriteClaim(PendingClaim& aPending, ClaimOutput& aOutput)
{
  const auto& request = aPending.mRequest;
  aPending.mStage = Stage::Claiming;
  aPending.mAwaitedId = NewOperationId(request.mRequest);
  const ClaimRecord record{
    mOptions.mSelf, request.mRequest, request.mFingerprint, request.mExpires
  };
  RegisterWrite write{ ClaimKey(request.mTeam, request.mKey, aPending.mGeneration),
                       EncodeClaimRecord(record),
                       request.mExpires };
  aOutput.mRegisters.push_back({ aPending.mAwaitedId, false, std::move(write) });
}

void ClaimManager::ReadOutcome(PendingClaim& aPending, Stage aStage, ClaimOutput& aOutput)
{
  const auto& request = aPending.mRequest;
  aPending.mStage = aStage;
  aPending.mAwaitedId = NewOperationId(request.mRequest);
  RegisterWrite read{ OutcomeKey(request.mTeam, request.mKey, aPending.mGeneration), {}, {} };
  aOutput.mRegisters.push_back({ aPending.mAwaitedId, true, std::move(read) });
}

void ClaimManager::QueryClaimant(PendingClaimMap::iterator aPending,
                                 TimePoint aNow,
                                 ClaimOutput& aOutput)
{
  auto& pending = aPending->second;
  pending.mStage = Stage::QueryingClaimant;
  if (pending.mExistingClaim.mHolder == mOptions.mSelf) {
    HandleStatusReply(aPending, ClaimStatusOf(pending.mExistingClaim.mClaimant), aNow, aOutput);
    return;
  }
  pending.mAwaitedId = NewOperationId(pending.mRequest.mRequest);
  aOutput.mStatusQueries.push_back(
    { pending.mAwaitedId, pending.mExistingClaim.mHolder, pending.mExistingClaim.mClaimant });
}

void ClaimManager::ClaimNextGeneration(PendingClaimMap::iterator aPending,
                                       WallTime aWallNow,
                                       ClaimOutput& aOutput)
{
  auto& pending = aPending->second;
  const auto remaining =
    pending.mEarliestExpiry.value_or(pending.mExistingClaim.mExpires) - aWallNow;
  const auto retention = pending.mRequest.mExpires - aWallNow;
  // The key is protected only until its first generation expires, so a new claim is refused when
  // less than half of its own retention period remains until then.
  if (pending.mGeneration >= mOptions.mMaxGenerations || remaining * 2 < retention) {
    CompleteClaim(aPending, ClaimResult::KeySpent, {}, aOutput);
    return;
  }
  ++pending.mGeneration;
  WriteClaim(pending, aOutput);
}

void ClaimManager::CompleteClaim(PendingClaimMap::iterator aPending,
                                 ClaimResult aResult,
                                 std::optional<ClaimOutcome> aOutcome,
                                 ClaimOutput& aOutput)
{
  if (!aPending->second.mAbandoned) {
    aOutput.mAnswers.push_back({ aPending->first, aResult, std::move(aOutcome) });
  }
  mPendingClaims.erase(aPending);
}

ClaimOutput ClaimManager::OnRegister(const RegisterOutcome& aOutcome,
                                     TimePoint aNow,
                                     WallTime aWallNow)
{
  ClaimOutput output;
  const auto operation = mRequestOfOperation.find(aOutcome.mOperationId);
  if (operation == mRequestOfOperation.end()) {
    return output;
  }
  const auto request = operation->second;
  mRequestOfOperation.erase(operation);
  const auto own = mOwnClaims.find(request);
  if (own != mOwnClaims.end() && own->second.mWriteOperationId == aOutcome.mOperationId) {
    OnOwnOutcomeWritten(own, aOutcome, aNow);
    return output;
  }
  const auto pending = mPendingClaims.find(request);
  if (pending == mPendingClaims.end() || pending->second.mAwaitedId != aOutcome.mOperationId) {
    return output;
  }
  switch (pending->second.mStage) {
    case Stage::Claiming:
      OnClaimWritten(pending, aOutcome, aNow, output);
      break;
    case Stage::ReadingOutcome:
    case Stage::RereadingOutcome:
      OnOutcomeRead(pending, aOutcome, aNow, aWallNow, output);
      break;
    case Stage::WritingRelease:
      OnReleaseWritten(pending, aOutcome, aWallNow, output);
      break;
    case Stage::QueryingClaimant:
    case Stage::WaitingToQuery:
      break;
  }
  return output;
}

void ClaimManager::OnClaimWritten(PendingClaimMap::iterator aPending,
                                  const RegisterOutcome& aOutcome,
                                  TimePoint,
                                  ClaimOutput& aOutput)
{
  auto& pending = aPending->second;
  if (aOutcome.mResult == RegisterResult::Won) {
    const auto own = AddOwnClaim(pending, OwnClaimState::Claimed, true);
    if (pending.mAbandoned) {
      Release(own, aOutput);
    }
    CompleteClaim(aPending, ClaimResult::Granted, {}, aOutput);
    return;
  }
  if (aOutcome.mResult != RegisterResult::Lost) {
    if (aOutcome.mResult == RegisterResult::Unresolved) {
      // The claim may be durable. A resend that finds it queries this instance, which reports
      // that the request was not dispatched.
      AddOwnClaim(pending, OwnClaimState::Released, false);
    }
    CompleteClaim(aPending, ClaimResult::StoreDown, {}, aOutput);
    return;
  }
  const auto found = DecodeClaimRecord(aOutcome.mValue);
  if (!found) {
    CompleteClaim(aPending, ClaimResult::MayHaveRun, {}, aOutput);
    return;
  }
  if (found->mFingerprint != pending.mRequest.mFingerprint) {
    aOutput.mEvents.push_back({ &kClaimKeyReused, { { "team", pending.mRequest.mTeam.Value() } } });
    CompleteClaim(aPending, ClaimResult::KeyReused, {}, aOutput);
    return;
  }
  pending.mExistingClaim = *found;
  pending.mEarliestExpiry =
    std::min(pending.mEarliestExpiry.value_or(found->mExpires), found->mExpires);
  ReadOutcome(pending, Stage::ReadingOutcome, aOutput);
}

void ClaimManager::OnOutcomeRead(PendingClaimMap::iterator aPending,
                                 const RegisterOutcome& aOutcome,
                                 TimePoint aNow,
                                 WallTime aWallNow,
                                 ClaimOutput& aOutput)
{
  if (aOutcome.mResult == RegisterResult::Lost) {
    const auto record = DecodeOutcomeRecord(aOutcome.mValue);
    if (!record) {
      CompleteClaim(aPending, ClaimResult::MayHaveRun, {}, aOutput);
    } else if (record->mReleased) {
      ClaimNextGeneration(aPending, aWallNow, aOutput);
    } else {
      CompleteClaim(aPending, ClaimResult::Finished, record->mOutcome, aOutput);
    }
    return;
  }
  if (aPending->second.mStage == Stage::ReadingOutcome) {
    QueryClaimant(aPending, aNow, aOutput);
    return;
  }
  aOutput.mEvents.push_back(
    { &kClaimHolderGone, { { "holder", aPending->second.mExistingClaim.mHolder.Value() } } });
  CompleteClaim(aPending, ClaimResult::MayHaveRun, {}, aOutput);
}

ClaimOutput ClaimManager::OnStatusReply(std::uint64_t aId,
                                        const std::optional<ClaimStatusReply>& aReport,
                                        TimePoint aNow,
                                        WallTime)
{
  ClaimOutput output;
  const auto operation = mRequestOfOperation.find(aId);
  if (operation == mRequestOfOperation.end()) {
    return output;
  }
  const auto pending = mPendingClaims.find(operation->second);
  mRequestOfOperation.erase(operation);
  if (pending != mPendingClaims.end() && pending->second.mAwaitedId == aId) {
    HandleStatusReply(pending, aReport, aNow, output);
  }
  return output;
}

void ClaimManager::HandleStatusReply(PendingClaimMap::iterator aPending,
                                     const std::optional<ClaimStatusReply>& aReport,
                                     TimePoint aNow,
                                     ClaimOutput& aOutput)
{
  auto& pending = aPending->second;
  const auto state = aReport ? aReport->mState : ClaimState::Unknown;
  switch (state) {
    case ClaimState::Unknown:
      ReadOutcome(pending, Stage::RereadingOutcome, aOutput);
      return;
    case ClaimState::Finished:
      CompleteClaim(aPending, ClaimResult::Finished, aReport->mOutcome, aOutput);
      return;
    case ClaimState::Released: {
      pending.mStage = Stage::WritingRelease;
      pending.mAwaitedId = NewOperationId(pending.mRequest.mRequest);
      RegisterWrite write{ OutcomeKey(
                             pending.mRequest.mTeam, pending.mRequest.mKey, pending.mGeneration),
                           EncodeOutcomeRecord({ true, {} }),
                           pending.mExistingClaim.mExpires };
      aOutput.mRegisters.push_back({ pending.mAwaitedId, false, std::move(write) });
      return;
    }
    case ClaimState::Running:
      pending.mStage = Stage::WaitingToQuery;
      pending.mNextQueryAt = aNow + pending.mBackoff;
      pending.mBackoff = std::min(pending.mBackoff * 2, mOptions.mMaxBackoff);
      return;
  }
}

void ClaimManager::OnReleaseWritten(PendingClaimMap::iterator aPending,
                                    const RegisterOutcome& aOutcome,
                                    WallTime aWallNow,
                                    ClaimOutput& aOutput)
{
  const bool durable =
    aOutcome.mResult == RegisterResult::Won || aOutcome.mResult == RegisterResult::Lost;
  if (!durable) {
    CompleteClaim(aPending, ClaimResult::StoreDown, {}, aOutput);
    return;
  }
  const auto record = DecodeOutcomeRecord(aOutcome.mValue);
  if (record && record->mReleased) {
    ClaimNextGeneration(aPending, aWallNow, aOutput);
  } else if (record) {
    CompleteClaim(aPending, ClaimResult::Finished, record->mOutcome, aOutput);
  } else {
    CompleteClaim(aPending, ClaimResult::MayHaveRun, {}, aOutput);
  }
}

ClaimOutput ClaimManager::Tick(TimePoint aNow, WallTime)
{
  ClaimOutput output;
  for (auto it = mPendingClaims.begin(); it != mPendingClaims.end();) {
    const auto pending = it++;
    if (pending->second.mStage != Stage::WaitingToQuery) {
      continue;
    }
    if (aNow >= pending->second.mRequest.mDeadline) {
      CompleteClaim(pending, ClaimResult::Running, {}, output);
    } else if (aNow >= pending->second.mNextQueryAt) {
      QueryClaimant(pending, aNow, output);
    }
  }
  for (const auto& it : mUnsavedOutcomes) {
    const auto own = mOwnClaims.find(it);
    if (own->second.mWriteOperationId == 0 && aNow >= own->second.mRetryAt) {
      WriteOutcome(own, output);
    }
  }
  return output;
}

} // namespace skylarkchute
