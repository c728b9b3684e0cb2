#include "CallerSession.h"

namespace skylarkchute {

namespace {

constexpr int kBadGateway = 502;
constexpr std::size_t kMaxQueuedBytes = 8UL * 1024 * 1024;

} // namespace

CallerSession::CallerSession(CallerRequest aRequest)
  : mRequest(std::move(aRequest))
  , mStream(mRequest.mFacts.mId)
{
}

void CallerSession::BeginAnswer(AnswerHead aHead)
{
  const std::lock_guard lock(mMutex);
  if (mEnded) {
    return;
  }
  if (!mBegun) {
    mHead = std::move(aHead);
  } else if (aHead.mVersion != mHead.mVersion) {
    EndAsInterrupted();
  }
}

bool CallerSession::AddChunk(const AttemptId& aAttempt, const StreamChunk& aChunk)
{
  const std::lock_guard lock(mMutex);
  if (mEnded || mCallerLeft) {
    return false;
  }
  auto action = mStream.ProcessChunk(aAttempt, aChunk);
  if (std::holds_alternative<AbortStream>(action)) {
    EndAsInterrupted();
    return false;
  }
  if (auto* event = std::get_if<EmitEvent>(&action)) {
    mBegun = true;
    mQueuedBytes += event->mData.size();
    Push(SendEvent{ mHead, event->mNumber, std::move(event->mData) });
  }
  if (mQueuedBytes > kMaxQueuedBytes) {
    MarkCallerLeftLocked();
    return false;
  }
  return true;
}

void CallerSession::Finish(std::string aBody)
{
  const std::lock_guard lock(mMutex);
  if (mEnded) {
    return;
  }
  if (mBegun) {
    EndAsInterrupted();
    return;
  }
  mBegun = true;
  mEnded = true;
  Push(SendBody{ mHead, std::move(aBody) });
}

void CallerSession::FinishStream(const AttemptId& aAttempt)
{
  const std::lock_guard lock(mMutex);
  if (mEnded) {
    return;
  }
  if (!mStream.IsComplete(aAttempt)) {
    EndAsInterrupted();
    return;
  }
  mEnded = true;
  Push(EndStream{ mHead });
}

void CallerSession::EndWithProblem(ProblemReply aProblem)
{
  const std::lock_guard lock(mMutex);
  if (mEnded) {
    return;
  }
  mEnded = true;
  Push(SendProblem{ std::move(aProblem) });
}

void CallerSession::EndAsInterrupted()
{
  mEnded = true;
  ProblemReply problem;
  problem.mHttpStatus = kBadGateway;
  problem.mVerdict = Verdict::Ran;
  problem.mReason = "answer-interrupted";
  problem.mDetail = "the answer broke off and another attempt did not continue it";
  Push(SendProblem{ std::move(problem) });
}

bool CallerSession::HasBegun() const
{
  const std::lock_guard lock(mMutex);
  return mBegun;
}

bool CallerSession::HasCallerLeft() const
{
  const std::lock_guard lock(mMutex);
  return mCallerLeft;
}

bool CallerSession::HasEnded() const
{
  const std::lock_guard lock(mMutex);
  return mEnded;
}

std::optional<SessionMessage> CallerSession::Wait(std::chrono::milliseconds aTimeout)
{
  std::unique_lock lock(mMutex);
  if (!mChanged.wait_for(lock, aTimeout, [this] { return !mQueue.empty(); })) {
    return std::nullopt;
  }
  auto message = std::move(mQueue.front());
  mQueue.pop_front();
  if (const auto* event = std::get_if<SendEvent>(&message)) {
    mQueuedBytes -= event->mData.size();
  }
  return message;
}

void CallerSession::MarkCallerLeft()
{
  const std::lock_guard lock(mMutex);
  MarkCallerLeftLocked();
}

void CallerSession::MarkCallerLeftLocked()
{
  mCallerLeft = true;
  mQueue.clear();
  mQueuedBytes = 0;
}

void CallerSession::Push(SessionMessage aMessage)
{
  mQueue.push_back(std::move(aMessage));
  mChanged.notify_one();
}

} // namespace skylarkchute
