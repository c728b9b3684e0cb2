#include "RightSystem.h"

#include "../peers/PeerMethods.h"
#include "../peers/TicketMessages.h"
#include "../requests/Refusals.h"
#include "LedgerSystem.h"
#include "RequestSystem.h"

namespace skylarkchute {

namespace {

constexpr std::chrono::milliseconds kIssuerTimeout{ 1000 };

} // namespace

RightSystem::RightSystem(NodeParts& aParts, LedgerSystem& aLedger)
  : mParts(aParts)
  , mLedger(aLedger)
{
}

void RightSystem::Ask(RequestRecord& aRecord, EventContext& aContext)
{
  aRecord.mRight = RunRight::Asked;
  const auto& facts = aRecord.mRequest.mFacts;
  const auto answer = mParts.mTickets.Accept(
    facts.mKey.Value(), aRecord.mTeam, facts.mId, facts.mFingerprint, aContext.Wall());
  if (answer.mResult == TicketResult::NotATicket) {
    AskClaim(aRecord, aContext);
    return;
  }
  aRecord.mHasTicket = true;
  if (answer.mResult == TicketResult::Foreign) {
    AskIssuer(aRecord, answer.mIssuer, aContext);
    return;
  }
  aRecord.mTicketIssuer = mParts.mOptions.mIncarnation;
  TakeTicket(facts.mId, answer, aContext);
}

bool RightSystem::TakeDispatch(RequestRecord& aRecord)
{
  if (aRecord.mRight == RunRight::NotNeeded) {
    return true;
  }
  if (aRecord.mRight != RunRight::Granted) {
    return false;
  }
  aRecord.mRight = RunRight::Dispatched;
  return aRecord.mHasTicket || mParts.mClaims.MarkDispatched(aRecord.mRequest.mFacts.mId);
}

void RightSystem::End(RequestRecord& aRecord, const ClaimOutcome& aOutcome, EventContext& aContext)
{
  const bool holds = aRecord.mRight == RunRight::Granted || aRecord.mRight == RunRight::Dispatched;
  const bool asked = aRecord.mRight == RunRight::Asked;
  aRecord.mRight = RunRight::NotNeeded;
  if (!holds && !asked) {
    return;
  }
  const auto& request = aRecord.mRequest.mFacts.mId;
  if (aRecord.mHasTicket) {
    if (aRecord.mTicketIssuer == mParts.mOptions.mIncarnation) {
      mParts.mTickets.Finish(request, aOutcome);
    } else {
      TellIssuer(aRecord, aOutcome, aContext);
    }
    return;
  }
  if (holds) {
    mLedger.Take(mParts.mClaims.Finish(request, aOutcome, aContext.Now()), aContext);
  } else {
    mLedger.Take(mParts.mClaims.Abandon(request, aContext.Now()), aContext);
  }
}

void RightSystem::IssuerReplied(const RequestId& aRequest,
                                const std::optional<std::string>& aMessage,
                                EventContext& aContext)
{
  const auto answer = aMessage ? DecodeTicketAnswer(*aMessage) : std::nullopt;
  if (answer) {
    TakeTicket(aRequest, *answer, aContext);
  } else {
    mRequests->TakeRightRefused(RefusalForTicketIssuer(aRequest), aContext);
  }
}

std::string RightSystem::AnswerTicketQuestion(const std::string& aMessage, WallTime aWall)
{
  const auto question = DecodeTicketQuestion(aMessage);
  TicketAnswer answer;
  if (!question || question->mIssuer != mParts.mOptions.mIncarnation) {
    answer.mResult = TicketResult::MayHaveRun;
    return EncodeTicketAnswer(answer);
  }
  answer = mParts.mTickets.Accept(
    question->mTicket, question->mTeam, question->mRequest, question->mFingerprint, aWall);
  return EncodeTicketAnswer(answer);
}

std::string RightSystem::AnswerTicketFinish(const std::string& aMessage)
{
  if (const auto finish = DecodeTicketFinish(aMessage)) {
    mParts.mTickets.Finish(finish->mRequest, finish->mOutcome);
  }
  return "{}";
}

void RightSystem::AskIssuer(RequestRecord& aRecord,
                            const IncarnationId& aIssuer,
                            EventContext& aContext)
{
  aRecord.mTicketIssuer = aIssuer;
  const auto& facts = aRecord.mRequest.mFacts;
  const TicketQuestion question{
    aIssuer, facts.mKey.Value(), aRecord.mTeam, facts.mId, facts.mFingerprint
  };
  aContext.AddPeerCall({ PeerPurpose::TicketForward, 0, facts.mId },
                       InstanceOf(aIssuer),
                       kTicketAcceptMethod,
                       EncodeTicketQuestion(question),
                       kIssuerTimeout);
}

void RightSystem::TellIssuer(const RequestRecord& aRecord,
                             const ClaimOutcome& aOutcome,
                             EventContext& aContext)
{
  aContext.AddPeerCall({ PeerPurpose::Notice, 0, {} },
                       InstanceOf(aRecord.mTicketIssuer),
                       kTicketFinishMethod,
                       EncodeTicketFinish({ aRecord.mRequest.mFacts.mId, aOutcome }),
                       kIssuerTimeout);
}

void RightSystem::TakeTicket(const RequestId& aRequest,
                             const TicketAnswer& aAnswer,
                             EventContext& aContext)
{
  if (aAnswer.mResult == TicketResult::Run) {
    mRequests->TakeRightGranted(aRequest, aContext);
  } else if (aAnswer.mResult == TicketResult::Finished && aAnswer.mOutcome) {
    mRequests->TakeRightFinished(aRequest, *aAnswer.mOutcome, aContext);
  } else {
    mRequests->TakeRightRefused(RefusalForTicket(aRequest, aAnswer.mResult), aContext);
  }
}

void RightSystem::AskClaim(RequestRecord& aRecord, EventContext& aContext)
{
  const auto& facts = aRecord.mRequest.mFacts;
  ClaimRequest claim;
  claim.mRequest = facts.mId;
  claim.mTeam = aRecord.mTeam;
  claim.mKey = facts.mKey;
  claim.mFingerprint = facts.mFingerprint;
  claim.mExpires = aContext.Wall() + mParts.mFollower.Current()->mRetention.mClaims;
  claim.mDeadline = facts.mDeadline;
  mLedger.Take(mParts.mClaims.Claim(claim, aContext.Now(), aContext.Wall()), aContext);
}

} // namespace skylarkchute
