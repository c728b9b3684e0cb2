#include "SessionTable.h"

namespace skylarkchute {

void SessionTable::Add(std::shared_ptr<CallerSession> aSession, TimePoint aNow)
{
  auto& entry = mEntries[aSession->Facts().mId];
  entry.mArrived = aNow;
  entry.mSession = std::move(aSession);
}

TimePoint SessionTable::ArrivedAt(const RequestId& aRequest, TimePoint aNow) const
{
  const auto it = mEntries.find(aRequest);
  return it == mEntries.end() ? aNow : it->second.mArrived;
}

std::shared_ptr<CallerSession> SessionTable::Find(const RequestId& aRequest) const
{
  const auto it = mEntries.find(aRequest);
  return it == mEntries.end() ? nullptr : it->second.mSession;
}

void SessionTable::RecordDispatch(const DispatchAction& aAction)
{
  const auto it = mEntries.find(aAction.mStep.mRequest);
  if (it == mEntries.end()) {
    return;
  }
  AnswerHead head;
  head.mSession = aAction.mSessionToken;
  if (const auto& version = aAction.mStep.mVersion) {
    head.mVersion = *version;
    head.mModel = ModelName(version->Value().substr(0, version->Value().find('/')));
  }
  it->second.mAttempts[aAction.mStep.mAttempt].mHead = head;
}

void SessionTable::RecordResult(const RequestId& aRequest, const AttemptResult& aResult)
{
  const auto it = mEntries.find(aRequest);
  if (it != mEntries.end()) {
    it->second.mAttempts[aResult.mAttempt].mResult = aResult;
  }
}

const AttemptResult* SessionTable::Result(const RequestId& aRequest,
                                          const AttemptId& aAttempt) const
{
  const auto it = mEntries.find(aRequest);
  if (it == mEntries.end()) {
    return nullptr;
  }
  const auto attempt = it->second.mAttempts.find(aAttempt);
  const bool known = attempt != it->second.mAttempts.end() && attempt->second.mResult;
  return known ? &*attempt->second.mResult : nullptr;
}

void SessionTable::Finish(const FinishAction& aAction)
{
  const auto session = Find(aAction.mRequest);
  const auto* result = Result(aAction.mRequest, aAction.mAttempt);
  if (!session || result == nullptr) {
    mEntries.erase(aAction.mRequest);
    return;
  }
  auto head = HeadOf(aAction.mRequest, aAction.mAttempt);
  if (session->Facts().mStream) {
    session->BeginAnswer(head);
    session->FinishStream(aAction.mAttempt);
  } else {
    head.mHttpStatus = result->mOutcome.mHttpStatus;
    head.mContentType = result->mContentType;
    session->BeginAnswer(head);
    session->Finish(result->mBody);
  }
  mEntries.erase(aAction.mRequest);
}

void SessionTable::Refuse(const RefuseAction& aAction)
{
  const auto& refusal = aAction.mRefusal;
  if (const auto session = Find(refusal.mRequest)) {
    session->EndWithProblem({ refusal.mHttpStatus,
                              refusal.mVerdict,
                              refusal.mReason,
                              refusal.mDetail,
                              refusal.mRetryAfter });
  }
  mEntries.erase(refusal.mRequest);
}

void SessionTable::Replay(const ReplayAction& aAction)
{
  if (const auto session = Find(aAction.mRequest)) {
    AnswerHead head;
    head.mHttpStatus = aAction.mHttpStatus;
    head.mContentType = aAction.mContentType;
    session->BeginAnswer(head);
    session->Finish(aAction.mBody);
  }
  mEntries.erase(aAction.mRequest);
}

AnswerHead SessionTable::HeadOf(const RequestId& aRequest, const AttemptId& aAttempt) const
{
  const auto it = mEntries.find(aRequest);
  if (it == mEntries.end()) {
    return {};
  }
  const auto attempt = it->second.mAttempts.find(aAttempt);
  return attempt == it->second.mAttempts.end() ? AnswerHead() : attempt->second.mHead;
}

} // namespace skylarkchute
