#pragma once

#include "../requests/CallerRequest.h"
#include "AnswerStream.h"
#include "SessionMessage.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>

namespace skylarkchute {

/** A caller's request and the queue of messages that make up its answer.

    Shared by the thread of the caller's connection and by the node. The node adds messages from any
    thread; the connection's thread removes them with Wait. The first call of Finish, FinishStream
    or EndWithProblem ends the session; later calls that add messages are ignored. */
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
  explicit CallerSession(CallerRequest aRequest);

  /** Returns the request, which never changes. */
  const CallerRequest& Request() const { return mRequest; }

  const RequestFacts& Facts() const { return mRequest.mFacts; }

  /** Sets the headers of the answer. They are sent with the first byte of the answer; until then a
      later call replaces them. After that, a call with another version ends the stream with an
      error, because an answer must come from a single version. */
  void BeginAnswer(AnswerHead aHead);

  /** Adds a chunk of an attempt. @see AnswerStream
      A caller with more than 8 MiB of unsent events is treated as disconnected.
      @returns whether the attempt should continue; false once the session has ended, the caller
      has disconnected or the chunk does not match the answer sent so far */
  bool AddChunk(const AttemptId& aAttempt, const StreamChunk& aChunk);

  /** Ends the session with a complete body, or with an error if a stream has begun. */
  void Finish(std::string aBody);

  /** Ends a stream after its last chunk. Ends it with an error if the attempt has not produced all
      the content that the caller has received. */
  void FinishStream(const AttemptId& aAttempt);

  /** Ends the session with an error. */
  void EndWithProblem(ProblemReply aProblem);

  /** Returns whether any part of the answer was queued for the connection. */
  bool HasBegun() const;

  /** Returns whether the caller has disconnected; its attempts may then be cancelled. */
  bool HasCallerLeft() const;

  /** Returns whether the session has ended and accepts no more messages. */
  bool HasEnded() const;

  /** Removes and returns the next message; `std::nullopt` when none arrives within @p aTimeout.
      Called on the connection's thread only. */
  std::optional<SessionMessage> Wait(std::chrono::milliseconds aTimeout);

  /** Marks the caller as disconnected and discards all queued messages. Called on the connection's
      thread only. */
  void MarkCallerLeft();

private:
  void Push(SessionMessage aMessage);
  void EndAsInterrupted();
  void MarkCallerLeftLocked();

  const CallerRequest mRequest;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<SessionMessage> mQueue;
  std::size_t mQueuedBytes = 0; /**< Data of the stream events in mQueue. */
  AnswerHead mHead;
  AnswerStream mStream;
  bool mBegun = false;
  bool mEnded = false;
  bool mCallerLeft = false;
};

} // namespace skylarkchute
