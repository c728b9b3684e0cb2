#include "ClaimDesk.h"

#include "../events/LedgerEvents.h"

#include <algorithm>
#include <cassert>

namespace skylarkchute {

bool ClaimDesk::MarkDispatched(const RequestId& aRequest)
{
  const auto it = mOwn.find(aRequest);
  if (it == mOwn.end() || it->second.mState != OwnState::Claimed) {
    return false;
  }
  it->second.mState = OwnState::Dispatched;
  return true;
}

ClaimOutput ClaimDesk::Finish(const RequestId& aRequest, const ClaimOutcome& aOutcome, TimePoint)
{
  ClaimOutput output;
  const auto it = mOwn.find(aRequest);
  if (it == mOwn.end()) {
    return output;
  }
  auto& own = it->second;
  if (own.mState == OwnState::Finished || own.mState == OwnState::Released) {
    return output;
  }
  if (own.mState == OwnState::Claimed || aOutcome.mVerdict == Verdict::NotRun) {
    Release(it, output);
    return output;
  }
  own.mState = OwnState::Finished;
  own.mOutcome = aOutcome;
  if (own.mOutcome.mBody.size() > mOptions.mLargestBodyBytes) {
    own.mOutcome.mBody.clear();
    own.mOutcome.mBodyDropped = true;
  }
  WriteOutcome(it, output);
  return output;
}

ClaimOutput ClaimDesk::Abandon(const RequestId& aRequest, TimePoint aNow)
{
  const auto flow = mFlows.find(aRequest);
  if (flow != mFlows.end() && flow->second.mStage == Stage::Claiming) {
    flow->second.mAbandoned = true;
    return {};
  }
  if (flow != mFlows.end()) {
    mFlows.erase(flow);
    return {};
  }
  const auto own = mOwn.find(aRequest);
  if (own == mOwn.end() || own->second.mState != OwnState::Claimed) {
    return {};
  }
  return Finish(aRequest, {}, aNow);
}

ClaimReport ClaimDesk::Report(const RequestId& aClaimant) const
{
  const auto flow = mFlows.find(aClaimant);
  if (flow != mFlows.end()) {
    // Its claim may be known to others before this instance learns that it is durable.
    return { flow->second.mStage == Stage::Claiming ? ClaimState::Running : ClaimState::Unknown,
             {} };
  }
  const auto own = mOwn.find(aClaimant);
  if (own == mOwn.end()) {
    return { ClaimState::Unknown, {} };
  }
  switch (own->second.mState) {
    case OwnState::Claimed:
    case OwnState::Dispatched:
      return { ClaimState::Running, {} };
    case OwnState::Finished:
      return { ClaimState::Finished, own->second.mOutcome };
    case OwnState::Released:
      return { ClaimState::Released, {} };
  }
  return { ClaimState::Unknown, {} };
}

ClaimDesk::OwnMap::iterator ClaimDesk::Remember(const Flow& aFlow, OwnState aState, bool aDurable)
{
  OwnClaim own;
  own.mTeam = aFlow.mRequest.mTeam;
  own.mKey = aFlow.mRequest.mKey;
  own.mFingerprint = aFlow.mRequest.mFingerprint;
  own.mExpires = aFlow.mRequest.mExpires;
  own.mGeneration = aFlow.mGeneration;
  own.mState = aState;
  own.mClaimDurable = aDurable;
  own.mBackoff = mOptions.mFirstRetry;
  const auto id = aFlow.mRequest.mRequest;
  mOwnByKey[{ own.mTeam, own.mKey }] = id;
  mOwnInOrder.push_back(id);
  const auto it = mOwn.insert_or_assign(id, std::move(own)).first;
  ForgetOldest();
  return it;
}

void ClaimDesk::Release(OwnMap::iterator aClaim, ClaimOutput& aOutput)
{
  aClaim->second.mState = OwnState::Released;
  aOutput.mEvents.push_back({ &kClaimReleased, { { "request", aClaim->first.Value() } } });
  WriteOutcome(aClaim, aOutput);
}

void ClaimDesk::WriteOutcome(OwnMap::iterator aClaim, ClaimOutput& aOutput)
{
  auto& own = aClaim->second;
  assert(own.mClaimDurable);
  own.mWriting = NewTicket(aClaim->first);
  mUnsaved.insert(aClaim->first);
  RegisterWrite write{ OutcomeKey(own.mTeam, own.mKey, own.mGeneration),
                       EncodeOutcomeRecord({ own.mState == OwnState::Released, own.mOutcome }),
                       own.mExpires };
  aOutput.mRegisters.push_back({ own.mWriting, false, std::move(write) });
}

void ClaimDesk::OnOwnOutcomeWritten(OwnMap::iterator aClaim,
                                    const RegisterOutcome& aOutcome,
                                    TimePoint aNow)
{
  auto& own = aClaim->second;
  own.mWriting = 0;
  if (aOutcome.mResult == RegisterResult::Won || aOutcome.mResult == RegisterResult::Lost) {
    own.mOutcomeDurable = true;
    mUnsaved.erase(aClaim->first);
    return;
  }
  own.mRetryAt = aNow + own.mBackoff;
  own.mBackoff = std::min(own.mBackoff * 2, mOptions.mLongestRetry);
}

void ClaimDesk::ForgetOldest()
{
  if (mOwnInOrder.size() <= mOptions.mMostRemembered) {
    return;
  }
  const auto settled =
    std::find_if(mOwnInOrder.begin(), std::prev(mOwnInOrder.end()), [&](const RequestId& aId) {
      return mOwn.at(aId).mOutcomeDurable;
    });
  const bool none = settled == std::prev(mOwnInOrder.end());
  const auto victim = none ? mOwnInOrder.begin() : settled;
  const auto own = mOwn.find(*victim);
  const auto byKey = mOwnByKey.find({ own->second.mTeam, own->second.mKey });
  if (byKey != mOwnByKey.end() && byKey->second == *victim) {
    mOwnByKey.erase(byKey);
  }
  mUnsaved.erase(*victim);
  mOwn.erase(own);
  mOwnInOrder.erase(victim);
}

} // namespace skylarkchute
