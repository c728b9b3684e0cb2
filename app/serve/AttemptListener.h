#pragma once

#include <skylarkchute_endpoints/skylarkchute_endpoints.h>
#include <skylarkchute_entry/skylarkchute_entry.h>

#include <functional>
#include <memory>

namespace skylarkchute {

/** Passes what one attempt brings to the caller's session and to the node. */
class AttemptListener final : public EndpointClient::Listener
{
public:
  /** What the node has to hear of. Called on threads of the attempt runner. */
  struct Reports
  {
    std::function<void(const RequestId&, const AttemptId&)> mFirstToken;
    std::function<void(const RequestId&, const AttemptResult&)> mEnd;
    std::function<void(const AttemptId&)> mUnwanted; /**< The answer is no longer wanted. */
  };

  /** @param aHead  headers of the answer if this attempt begins it */
  AttemptListener(std::shared_ptr<CallerSession> aSession, AnswerHead aHead, Reports aReports)
    : mSession(std::move(aSession))
    , mHead(std::move(aHead))
    , mReports(std::move(aReports))
  {
  }

  void OnFirstToken(const AttemptId& aAttempt) override
  {
    mReports.mFirstToken(mSession->Facts().mId, aAttempt);
  }

  void OnChunk(const AttemptId& aAttempt, const StreamChunk& aChunk) override
  {
    if (!mBegun) {
      mSession->BeginAnswer(mHead);
      mBegun = true;
    }
    if (!mSession->Chunk(aAttempt, aChunk) && !mTold) {
      mTold = true;
      mReports.mUnwanted(aAttempt);
    }
  }

  void OnEnd(const AttemptResult& aResult) override
  {
    auto result = aResult;
    result.mOutcome.mCallerSawBytes = mSession->HasBegun();
    mReports.mEnd(mSession->Facts().mId, result);
  }

private:
  std::shared_ptr<CallerSession> mSession;
  AnswerHead mHead;
  Reports mReports;
  bool mBegun = false;
  bool mTold = false;
};

} // namespace skylarkchute
