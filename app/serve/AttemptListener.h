#pragma once

#include <skylarkchute_endpoints/skylarkchute_endpoints.h>
#include <skylarkchute_entry/skylarkchute_entry.h>

#include <functional>
#include <memory>

namespace skylarkchute {

/** Forwards the chunks of one attempt to the caller's session, and its events to the node. */
class AttemptListener final : public EndpointClient::Listener
{
public:
  /** Callbacks for the node. Called on threads of the attempt runner. */
  struct Callbacks
  {
    std::function<void(const RequestId&, const AttemptId&)> mFirstToken;
    std::function<void(const RequestId&, const AttemptResult&)> mEnd;
    /** The session rejected a chunk of this attempt; called at most once. */
    std::function<void(const AttemptId&)> mAnswerUnwanted;
  };

  /** @param aHead  answer headers, sent before the first chunk of this attempt */
  AttemptListener(std::shared_ptr<CallerSession> aSession, AnswerHead aHead, Callbacks aCallbacks)
    : mSession(std::move(aSession))
    , mHead(std::move(aHead))
    , mCallbacks(std::move(aCallbacks))
  {
  }

  void OnFirstToken(const AttemptId& aAttempt) override
  {
    mCallbacks.mFirstToken(mSession->Facts().mId, aAttempt);
  }

  void OnChunk(const AttemptId& aAttempt, const StreamChunk& aChunk) override
  {
    if (!mAnswerBegun) {
      mSession->BeginAnswer(mHead);
      mAnswerBegun = true;
    }
    if (!mSession->AddChunk(aAttempt, aChunk) && !mUnwantedReported) {
      mUnwantedReported = true;
      mCallbacks.mAnswerUnwanted(aAttempt);
    }
  }

  void OnEnd(const AttemptResult& aResult) override
  {
    auto result = aResult;
    result.mOutcome.mCallerSawBytes = mSession->HasBegun();
    mCallbacks.mEnd(mSession->Facts().mId, result);
  }

private:
  std::shared_ptr<CallerSession> mSession;
  AnswerHead mHead;
  Callbacks mCallbacks;
  bool mAnswerBegun = false;
  bool mUnwantedReported = false;
};

} // namespace skylarkchute
