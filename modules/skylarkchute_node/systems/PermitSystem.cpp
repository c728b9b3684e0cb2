#include "PermitSystem.h"

#include "../peers/PeerMethods.h"
#include "../peers/TicketMessages.h"
#include "../requests/Refusals.h"
#include "LedgerSystem.h"
#include "RequestSystem.h"

namespace skylarkchute {

namespace {

constexpr std::chrono::milliseconds kTicketIssuerTimeout{ 1000 };

} // namespace

PermitSystem::PermitSystem(NodeParts& aParts, LedgerSystem& aLedger)
  : mParts(aParts)
  , mLedger(aLedger)
{
}

void PermitSystem::RequestPermit(RequestRecord& aRecord, EventContext& aContext)
{
  aRecord.mPermit = RunPermit::Requested;
  const auto& facts = aRecord.mRequest.mFacts;
  const auto answer = mParts.mTickets.Redeem(
    facts.mKey.Value(), aRecord.mTeam, facts.mId, facts.mFingerprint, aContext.Wall());
  if (answer.mResult == TicketResult::NotATicket) {
    RequestClaim(aRecord, aContext);
    return;
  }
  aRecord.mHasTicket = true;
  if (answer.mResult == TicketResult::IssuedElsewhere) {
    ForwardTicket(aRecord, answer.mIssuer, aContext);
    return;
  }
  aRecord.mTicketIssuer = mParts.mOptions.mIncarnation;
  OnTicketAnswer(facts.mId, answer, aContext);
}

bool PermitSystem::UsePermit(RequestRecord& aRecord)
{
  if (aRecord.mPermit == RunPermit::NotNeeded) {
    return true;
  }
  if (aRecord.mPermit != RunPermit::Granted) {
    return false;
  }
  aRecord.mPermit = RunPermit::Dispatched;
  return aRecord.mHasTicket || mParts.mClaims.MarkDispatched(aRecord.mRequest.mFacts.mId);
}

void PermitSystem::ReportEnd(RequestRecord& aRecord,
                             const ClaimOutcome& aOutcome,
                             EventContext& aContext)
{
  const bool isGranted =
    aRecord.mPermit == RunPermit::Granted || aRecord.mPermit == RunPermit::Dispatched;
  const bool isRequested = aRecord.mPermit == RunPermit::Requested;
  aRecord.mPermit = RunPermit::NotNeeded;
  if (!isGranted && !isRequested) {
    return;
  }
  const auto& request = aRecord.mRequest.mFacts.mId;
  if (aRecord.mHasTicket) {
    if (aRecord.mTicketIssuer == mParts.mOptions.mIncarnation) {
      mParts.mTickets.Finish(request, aOutcome);
    } else {
      ReportToIssuer(aRecord, aOutcome, aContext);
    }
    return;
  }
  if (isGranted) {
    mLedger.ApplyOutput(mParts.mClaims.Finish(request, aOutcome, aContext.Now()), aContext);
  } else {
    mLedger.ApplyOutput(mParts.mClaims.Abandon(request, aContext.Now()), aContext);
  }
}

void PermitSystem::OnIssuerReply(const RequestId& aRequest,
                                 const std::optional<std::string>& aMessage,
                                 EventContext& aContext)
{
  const auto answer = aMessage ? DecodeTicketAnswer(*aMessage) : std::nullopt;
  if (answer) {
    OnTicketAnswer(aRequest, *answer, aContext);
  } else {
    mRequests->OnPermitRefused(RefusalForTicketIssuer(aRequest), aContext);
  }
}

std::string PermitSystem::AnswerTicketRequest(const std::string& aMessage, WallTime aWall)
{
  const auto request = DecodeTicketRequest(aMessage);
  TicketAnswer answer;
  if (!request || request->mIssuer != mParts.mOptions.mIncarnation) {
    answer.mResult = TicketResult::MayHaveRun;
    return EncodeTicketAnswer(answer);
  }
  answer = mParts.mTickets.Redeem(
    request->mTicket, request->mTeam, request->mRequest, request->mFingerprint, aWall);
  return EncodeTicketAnswer(answer);
}

std::string PermitSystem::AnswerTicketFinish(const std::string& aMessage)
{
  if (const auto finish = DecodeTicketFinish(aMessage)) {
    mParts.mTickets.Finish(finish->mRequest, finish->mOutcome);
  }
  return "{}";
}

void PermitSystem::ForwardTicket(RequestRecord& aRecord,
                                 const IncarnationId& aIssuer,
                                 EventContext& aContext)
{
  aRecord.mTicketIssuer = aIssuer;
  const auto& facts = aRecord.mRequest.mFacts;
  const TicketRequest request{
    aIssuer, facts.mKey.Value(), aRecord.mTeam, facts.mId, facts.mFingerprint
  };
  aContext.AddPeerCall({ PeerPurpose::TicketForward, 0, facts.mId },
                       InstanceOf(aIssuer),
                       kTicketAcceptMethod,
                       EncodeTicketRequest(request),
                       kTicketIssuerTimeout);
}

void PermitSystem::ReportToIssuer(const RequestRecord& aRecord,
                                  const ClaimOutcome& aOutcome,
                                  EventContext& aContext)
{
  aContext.AddPeerCall({ PeerPurpose::Notice, 0, {} },
                       InstanceOf(aRecord.mTicketIssuer),
                       kTicketFinishMethod,
                       EncodeTicketFinish({ aRecord.mRequest.mFacts.mId, aOutcome }),
                       kTicketIssuerTimeout);
}

void PermitSystem::OnTicketAnswer(const RequestId& aRequest,
                                  const TicketAnswer& aAnswer,
                                  EventContext& aContext)
{
  if (aAnswer.mResult == TicketResult::Run) {
    mRequests->OnPermitGranted(aRequest, aContext);
  } else if (aAnswer.mResult == TicketResult::Finished && aAnswer.mOutcome) {
    mRequests->OnAlreadyFinished(aRequest, *aAnswer.mOutcome, aContext);
  } else {
    mRequests->OnPermitRefused(RefusalForTicket(aRequest, aAnswer.mResult), aContext);
  }
}

void PermitSystem::RequestClaim(RequestRecord& aRecord, EventContext& aContext)
{
  const auto& facts = aRecord.mRequest.mFacts;
  ClaimRequest claim;
  claim.mRequest = facts.mId;
  claim.mTeam = aRecord.mTeam;
  claim.mKey = facts.mKey;
  claim.mFingerprint = facts.mFingerprint;
  claim.mExpires = aContext.Wall() + mParts.mFollower.Current()->mRetention.mClaims;
  claim.mDeadline = facts.mDeadline;
  mLedger.ApplyOutput(mParts.mClaims.Claim(claim, aContext.Now(), aContext.Wall()), aContext);
}

} // namespace skylarkchute
