#include "ClaimDesk.h"

#include "../events/LedgerEvents.h"

#include <algorithm>
#include <cassert>

namespace skylarkchute {

ClaimDesk::ClaimDesk(Options aOptions) : mOptions(std::move(aOptions)) {}

std::uint64_t ClaimDesk::NewTicket(const RequestId& aRequest)
{
  const auto ticket = mNextTicket++;
  mTickets.emplace(ticket, aRequest);
  return ticket;
}

ClaimOutput ClaimDesk::Claim(const ClaimRequest& aRequest, TimePoint aNow, WallTime aWallNow)
{
  assert(mFlows.count(aRequest.mRequest) == 0 && mOwn.count(aRequest.mRequest) == 0);
  ClaimOutput output;
  if (AnswerFromMemory(aRequest, aNow, aWallNow, output)) {
    return output;
  }
  Flow flow;
  flow.mRequest = aRequest;
  flow.mBackoff = mOptions.mFirstRetry;
  const auto it = mFlows.emplace(aRequest.mRequest, std::move(flow)).first;
  WriteClaim(it->second, output);
  return output;
}

bool ClaimDesk::AnswerFromMemory(const ClaimRequest& aRequest,
                                 TimePoint aNow,
                                 WallTime aWallNow,
                                 ClaimOutput& aOutput)
{
  const auto byKey = mOwnByKey.find({ aRequest.mTeam, aRequest.mKey });
  if (byKey == mOwnByKey.end()) {
    return false;
  }
  const auto& own = mOwn.at(byKey->second);
  if (own.mState == OwnState::Released || own.mExpires <= aWallNow) {
    return false;
  }
  Flow flow;
  flow.mRequest = aRequest;
  flow.mGeneration = own.mGeneration;
  flow.mBackoff = mOptions.mFirstRetry;
  flow.mFound = { mOptions.mSelf, byKey->second, own.mFingerprint, own.mExpires };
  flow.mEarliestExpiry = own.mExpires;
  const auto it = mFlows.emplace(aRequest.mRequest, std::move(flow)).first;
  if (own.mFingerprint != aRequest.mFingerprint) {
    aOutput.mEvents.push_back({ &kClaimKeyReused, { { "team", aRequest.mTeam.Value() } } });
    End(it, ClaimResult::KeyReused, {}, aOutput);
    return true;
  }
  Ask(it, aNow, aOutput);
  return true;
}

void ClaimDesk::WriteClaim(Flow& aFlow, ClaimOutput& aOutput)
{
  const auto& request = aFlow.mRequest;
  aFlow.mStage = Stage::Claiming;
  aFlow.mWaitingFor = NewTicket(request.mRequest);
  const ClaimRecord record{
    mOptions.mSelf, request.mRequest, request.mFingerprint, request.mExpires
  };
  RegisterWrite write{ ClaimKey(request.mTeam, request.mKey, aFlow.mGeneration),
                       EncodeClaimRecord(record),
                       request.mExpires };
  aOutput.mRegisters.push_back({ aFlow.mWaitingFor, false, std::move(write) });
}

void ClaimDesk::ReadOutcome(Flow& aFlow, Stage aStage, ClaimOutput& aOutput)
{
  const auto& request = aFlow.mRequest;
  aFlow.mStage = aStage;
  aFlow.mWaitingFor = NewTicket(request.mRequest);
  RegisterWrite read{ OutcomeKey(request.mTeam, request.mKey, aFlow.mGeneration), {}, {} };
  aOutput.mRegisters.push_back({ aFlow.mWaitingFor, true, std::move(read) });
}

void ClaimDesk::Ask(FlowMap::iterator aFlow, TimePoint aNow, ClaimOutput& aOutput)
{
  auto& flow = aFlow->second;
  flow.mStage = Stage::Asking;
  if (flow.mFound.mHolder == mOptions.mSelf) {
    TakeReport(aFlow, Report(flow.mFound.mClaimant), aNow, aOutput);
    return;
  }
  flow.mWaitingFor = NewTicket(flow.mRequest.mRequest);
  aOutput.mQuestions.push_back({ flow.mWaitingFor, flow.mFound.mHolder, flow.mFound.mClaimant });
}

void ClaimDesk::NextGeneration(FlowMap::iterator aFlow, WallTime aWallNow, ClaimOutput& aOutput)
{
  auto& flow = aFlow->second;
  const auto remaining = flow.mEarliestExpiry.value_or(flow.mFound.mExpires) - aWallNow;
  const auto retention = flow.mRequest.mExpires - aWallNow;
  // The key is protected only until its first generation expires, so that a late one is refused.
  if (flow.mGeneration >= mOptions.mMostGenerations || remaining * 2 < retention) {
    End(aFlow, ClaimResult::KeySpent, {}, aOutput);
    return;
  }
  ++flow.mGeneration;
  WriteClaim(flow, aOutput);
}

void ClaimDesk::End(FlowMap::iterator aFlow,
                    ClaimResult aResult,
                    std::optional<ClaimOutcome> aOutcome,
                    ClaimOutput& aOutput)
{
  if (!aFlow->second.mAbandoned) {
    aOutput.mAnswers.push_back({ aFlow->first, aResult, std::move(aOutcome) });
  }
  mFlows.erase(aFlow);
}

ClaimOutput ClaimDesk::OnRegister(const RegisterOutcome& aOutcome,
                                  TimePoint aNow,
                                  WallTime aWallNow)
{
  ClaimOutput output;
  const auto ticket = mTickets.find(aOutcome.mTicket);
  if (ticket == mTickets.end()) {
    return output;
  }
  const auto request = ticket->second;
  mTickets.erase(ticket);
  const auto own = mOwn.find(request);
  if (own != mOwn.end() && own->second.mWriting == aOutcome.mTicket) {
    OnOwnOutcomeWritten(own, aOutcome, aNow);
    return output;
  }
  const auto flow = mFlows.find(request);
  if (flow == mFlows.end() || flow->second.mWaitingFor != aOutcome.mTicket) {
    return output;
  }
  switch (flow->second.mStage) {
    case Stage::Claiming:
      OnClaimWritten(flow, aOutcome, aNow, output);
      break;
    case Stage::ReadingOutcome:
    case Stage::ReadingLastly:
      OnOutcomeRead(flow, aOutcome, aNow, aWallNow, output);
      break;
    case Stage::WritingRelease:
      OnReleaseWritten(flow, aOutcome, aWallNow, output);
      break;
    case Stage::Asking:
    case Stage::WaitingForClaimant:
      break;
  }
  return output;
}

void ClaimDesk::OnClaimWritten(FlowMap::iterator aFlow,
                               const RegisterOutcome& aOutcome,
                               TimePoint,
                               ClaimOutput& aOutput)
{
  auto& flow = aFlow->second;
  if (aOutcome.mResult == RegisterResult::Won) {
    const auto own = Remember(flow, OwnState::Claimed, true);
    if (flow.mAbandoned) {
      Release(own, aOutput);
    }
    End(aFlow, ClaimResult::Granted, {}, aOutput);
    return;
  }
  if (aOutcome.mResult != RegisterResult::Lost) {
    if (aOutcome.mResult == RegisterResult::Unresolved) {
      // The claim may be durable; whoever finds it learns here that it was not dispatched.
      Remember(flow, OwnState::Released, false);
    }
    End(aFlow, ClaimResult::StoreDown, {}, aOutput);
    return;
  }
  const auto found = DecodeClaimRecord(aOutcome.mValue);
  if (!found) {
    End(aFlow, ClaimResult::MayHaveRun, {}, aOutput);
    return;
  }
  if (found->mFingerprint != flow.mRequest.mFingerprint) {
    aOutput.mEvents.push_back({ &kClaimKeyReused, { { "team", flow.mRequest.mTeam.Value() } } });
    End(aFlow, ClaimResult::KeyReused, {}, aOutput);
    return;
  }
  flow.mFound = *found;
  flow.mEarliestExpiry = std::min(flow.mEarliestExpiry.value_or(found->mExpires), found->mExpires);
  ReadOutcome(flow, Stage::ReadingOutcome, aOutput);
}

void ClaimDesk::OnOutcomeRead(FlowMap::iterator aFlow,
                              const RegisterOutcome& aOutcome,
                              TimePoint aNow,
                              WallTime aWallNow,
                              ClaimOutput& aOutput)
{
  if (aOutcome.mResult == RegisterResult::Lost) {
    const auto record = DecodeOutcomeRecord(aOutcome.mValue);
    if (!record) {
      End(aFlow, ClaimResult::MayHaveRun, {}, aOutput);
    } else if (record->mReleased) {
      NextGeneration(aFlow, aWallNow, aOutput);
    } else {
      End(aFlow, ClaimResult::Finished, record->mOutcome, aOutput);
    }
    return;
  }
  if (aFlow->second.mStage == Stage::ReadingOutcome) {
    Ask(aFlow, aNow, aOutput);
    return;
  }
  aOutput.mEvents.push_back(
    { &kClaimHolderGone, { { "holder", aFlow->second.mFound.mHolder.Value() } } });
  End(aFlow, ClaimResult::MayHaveRun, {}, aOutput);
}

ClaimOutput ClaimDesk::OnReport(std::uint64_t aId,
                                const std::optional<ClaimReport>& aReport,
                                TimePoint aNow,
                                WallTime)
{
  ClaimOutput output;
  const auto ticket = mTickets.find(aId);
  if (ticket == mTickets.end()) {
    return output;
  }
  const auto flow = mFlows.find(ticket->second);
  mTickets.erase(ticket);
  if (flow != mFlows.end() && flow->second.mWaitingFor == aId) {
    TakeReport(flow, aReport, aNow, output);
  }
  return output;
}

void ClaimDesk::TakeReport(FlowMap::iterator aFlow,
                           const std::optional<ClaimReport>& aReport,
                           TimePoint aNow,
                           ClaimOutput& aOutput)
{
  auto& flow = aFlow->second;
  const auto state = aReport ? aReport->mState : ClaimState::Unknown;
  switch (state) {
    case ClaimState::Unknown:
      ReadOutcome(flow, Stage::ReadingLastly, aOutput);
      return;
    case ClaimState::Finished:
      End(aFlow, ClaimResult::Finished, aReport->mOutcome, aOutput);
      return;
    case ClaimState::Released: {
      flow.mStage = Stage::WritingRelease;
      flow.mWaitingFor = NewTicket(flow.mRequest.mRequest);
      RegisterWrite write{ OutcomeKey(flow.mRequest.mTeam, flow.mRequest.mKey, flow.mGeneration),
                           EncodeOutcomeRecord({ true, {} }),
                           flow.mFound.mExpires };
      aOutput.mRegisters.push_back({ flow.mWaitingFor, false, std::move(write) });
      return;
    }
    case ClaimState::Running:
      flow.mStage = Stage::WaitingForClaimant;
      flow.mAskAt = aNow + flow.mBackoff;
      flow.mBackoff = std::min(flow.mBackoff * 2, mOptions.mLongestRetry);
      return;
  }
}

void ClaimDesk::OnReleaseWritten(FlowMap::iterator aFlow,
                                 const RegisterOutcome& aOutcome,
                                 WallTime aWallNow,
                                 ClaimOutput& aOutput)
{
  const bool durable =
    aOutcome.mResult == RegisterResult::Won || aOutcome.mResult == RegisterResult::Lost;
  if (!durable) {
    End(aFlow, ClaimResult::StoreDown, {}, aOutput);
    return;
  }
  const auto record = DecodeOutcomeRecord(aOutcome.mValue);
  if (record && record->mReleased) {
    NextGeneration(aFlow, aWallNow, aOutput);
  } else if (record) {
    End(aFlow, ClaimResult::Finished, record->mOutcome, aOutput);
  } else {
    End(aFlow, ClaimResult::MayHaveRun, {}, aOutput);
  }
}

ClaimOutput ClaimDesk::Tick(TimePoint aNow, WallTime)
{
  ClaimOutput output;
  for (auto it = mFlows.begin(); it != mFlows.end();) {
    const auto flow = it++;
    if (flow->second.mStage != Stage::WaitingForClaimant) {
      continue;
    }
    if (aNow >= flow->second.mRequest.mDeadline) {
      End(flow, ClaimResult::Running, {}, output);
    } else if (aNow >= flow->second.mAskAt) {
      Ask(flow, aNow, output);
    }
  }
  for (const auto& it : mUnsaved) {
    const auto own = mOwn.find(it);
    if (own->second.mWriting == 0 && aNow >= own->second.mRetryAt) {
      WriteOutcome(own, output);
    }
  }
  return output;
}

} // namespace skylarkchute
