#include "ClaimManager.h"

#include "../events/LedgerEvents.h"

#include <algorithm>
#include <cassert>

namespace skylarkchute {

bool ClaimManager::MarkDispatched(const RequestId& aRequest)
{
  const auto it = mOwnClaims.find(aRequest);
  if (it == mOwnClaims.end() || it->second.mState != OwnClaimState::Claimed) {
    return false;
  }
  it->second.mState = OwnClaimState::Dispatched;
  return true;
}

ClaimOutput ClaimManager::Finish(const RequestId& aRequest, const ClaimOutcome& aOutcome, TimePoint)
{
  ClaimOutput output;
  const auto it = mOwnClaims.find(aRequest);
  if (it == mOwnClaims.end()) {
    return output;
  }
  auto& own = it->second;
  if (own.mState == OwnClaimState::Finished || own.mState == OwnClaimState::Released) {
    return output;
  }
  if (own.mState == OwnClaimState::Claimed || aOutcome.mVerdict == Verdict::NotRun) {
    Release(it, output);
    return output;
  }
  own.mState = OwnClaimState::Finished;
  own.mOutcome = aOutcome;
  if (own.mOutcome.mBody.size() > mOptions.mMaxStoredBodyBytes) {
    own.mOutcome.mBody.clear();
    own.mOutcome.mBodyDropped = true;
  }
  WriteOutcome(it, output);
  return output;
}

ClaimOutput ClaimManager::Abandon(const RequestId& aRequest, TimePoint aNow)
{
  const auto pending = mPendingClaims.find(aRequest);
  if (pending != mPendingClaims.end() && pending->second.mStage == Stage::Claiming) {
    pending->second.mAbandoned = true;
    return {};
  }
  if (pending != mPendingClaims.end()) {
    mPendingClaims.erase(pending);
    return {};
  }
  const auto own = mOwnClaims.find(aRequest);
  if (own == mOwnClaims.end() || own->second.mState != OwnClaimState::Claimed) {
    return {};
  }
  return Finish(aRequest, {}, aNow);
}

ClaimStatusReply ClaimManager::ClaimStatusOf(const RequestId& aClaimant) const
{
  const auto pending = mPendingClaims.find(aClaimant);
  if (pending != mPendingClaims.end()) {
    // Peers can read the claim register before this instance learns that its write succeeded.
    return { pending->second.mStage == Stage::Claiming ? ClaimState::Running : ClaimState::Unknown,
             {} };
  }
  const auto own = mOwnClaims.find(aClaimant);
  if (own == mOwnClaims.end()) {
    return { ClaimState::Unknown, {} };
  }
  switch (own->second.mState) {
    case OwnClaimState::Claimed:
    case OwnClaimState::Dispatched:
      return { ClaimState::Running, {} };
    case OwnClaimState::Finished:
      return { ClaimState::Finished, own->second.mOutcome };
    case OwnClaimState::Released:
      return { ClaimState::Released, {} };
  }
  return { ClaimState::Unknown, {} };
}

ClaimManager::OwnMap::iterator ClaimManager::AddOwnClaim(const PendingClaim& aPending,
                                                         OwnClaimState aState,
                                                         bool aDurable)
{
  OwnClaim own;
  own.mTeam = aPending.mRequest.mTeam;
  own.mKey = aPending.mRequest.mKey;
  own.mFingerprint = aPending.mRequest.mFingerprint;
  own.mExpires = aPending.mRequest.mExpires;
  own.mGeneration = aPending.mGeneration;
  own.mState = aState;
  own.mClaimDurable = aDurable;
  own.mBackoff = mOptions.mInitialBackoff;
  const auto id = aPending.mRequest.mRequest;
  mOwnClaimsByKey[{ own.mTeam, own.mKey }] = id;
  mOwnClaimOrder.push_back(id);
  const auto it = mOwnClaims.insert_or_assign(id, std::move(own)).first;
  EvictOwnClaim();
  return it;
}

void ClaimManager::Release(OwnMap::iterator aClaim, ClaimOutput& aOutput)
{
  aClaim->second.mState = OwnClaimState::Released;
  aOutput.mEvents.push_back({ &kClaimReleased, { { "request", aClaim->first.Value() } } });
  WriteOutcome(aClaim, aOutput);
}

void ClaimManager::WriteOutcome(OwnMap::iterator aClaim, ClaimOutput& aOutput)
{
  auto& own = aClaim->second;
  assert(own.mClaimDurable);
  own.mWriteOperationId = NewOperationId(aClaim->first);
  mUnsavedOutcomes.insert(aClaim->first);
  RegisterWrite write{ OutcomeKey(own.mTeam, own.mKey, own.mGeneration),
                       EncodeOutcomeRecord({ own.mState == OwnClaimState::Released, own.mOutcome }),
                       own.mExpires };
  aOutput.mRegisters.push_back({ own.mWriteOperationId, false, std::move(write) });
}

void ClaimManager::OnOwnOutcomeWritten(OwnMap::iterator aClaim,
                                       const RegisterOutcome& aOutcome,
                                       TimePoint aNow)
{
  auto& own = aClaim->second;
  own.mWriteOperationId = 0;
  if (aOutcome.mResult == RegisterResult::Won || aOutcome.mResult == RegisterResult::Lost) {
    own.mOutcomeDurable = true;
    mUnsavedOutcomes.erase(aClaim->first);
    return;
  }
  own.mRetryAt = aNow + own.mBackoff;
  own.mBackoff = std::min(own.mBackoff * 2, mOptions.mMaxBackoff);
}

void ClaimManager::EvictOwnClaim()
{
  if (mOwnClaimOrder.size() <= mOptions.mMaxOwnClaims) {
    return;
  }
  const auto oldestDurable =
    std::find_if(mOwnClaimOrder.begin(),
                 std::prev(mOwnClaimOrder.end()),
                 [&](const RequestId& aId) { return mOwnClaims.at(aId).mOutcomeDurable; });
  const bool noneDurable = oldestDurable == std::prev(mOwnClaimOrder.end());
  const auto evicted = noneDurable ? mOwnClaimOrder.begin() : oldestDurable;
  const auto own = mOwnClaims.find(*evicted);
  const auto byKey = mOwnClaimsByKey.find({ own->second.mTeam, own->second.mKey });
  if (byKey != mOwnClaimsByKey.end() && byKey->second == *evicted) {
    mOwnClaimsByKey.erase(byKey);
  }
  mUnsavedOutcomes.erase(*evicted);
  mOwnClaims.erase(own);
  mOwnClaimOrder.erase(evicted);
}

} // namespace skylarkchute
