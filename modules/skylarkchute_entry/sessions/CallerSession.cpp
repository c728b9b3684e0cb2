#include "CallerSession.h"

namespace skylarkchute {

namespace {

constexpr int kBadGateway = 502;
constexpr std::size_t kMaxMailboxBytes = 8UL * 1024 * 1024;

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
    EndWithContradiction();
  }
}

bool CallerSession::Chunk(const AttemptId& aAttempt, const StreamChunk& aChunk)
{
  const std::lock_guard lock(mMutex);
  if (mEnded || mCallerLeft) {
    return false;
  }
  auto step = mStream.Take(aAttempt, aChunk);
  if (std::holds_alternative<ContradictStream>(step)) {
    EndWithContradiction();
    return false;
  }
  if (auto* event = std::get_if<EmitEvent>(&step)) {
    mBegun = true;
    mMailboxBytes += event->mData.size();
    Push(SendEvent{ mHead, event->mNumber, std::move(event->mData) });
  }
  if (mMailboxBytes > kMaxMailboxBytes) {
    LeaveLocked();
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
    EndWithContradiction();
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
  if (!mStream.IsWhole(aAttempt)) {
    EndWithContradiction();
    return;
  }
  mEnded = true;
  Push(EndStream{ mHead });
}

void CallerSession::Problem(ProblemReply aProblem)
{
  const std::lock_guard lock(mMutex);
  if (mEnded) {
    return;
  }
  mEnded = true;
  Push(SendProblem{ std::move(aProblem) });
}

void CallerSession::EndWithContradiction()
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
  if (!mChanged.wait_for(lock, aTimeout, [this] { return !mMailbox.empty(); })) {
    return std::nullopt;
  }
  auto message = std::move(mMailbox.front());
  mMailbox.pop_front();
  if (const auto* event = std::get_if<SendEvent>(&message)) {
    mMailboxBytes -= event->mData.size();
  }
  return message;
}

void CallerSession::MarkCallerLeft()
{
  const std::lock_guard lock(mMutex);
  LeaveLocked();
}

void CallerSession::LeaveLocked()
{
  mCallerLeft = true;
  mMailbox.clear();
  mMailboxBytes = 0;
}

void CallerSession::Push(SessionMessage aMessage)
{
  mMailbox.push_back(std::move(aMessage));
  mChanged.notify_one();
}

} // namespace skylarkchute
