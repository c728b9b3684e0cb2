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

/** One request of a caller and the mailbox for its answer.

    Shared by the thread of the caller's connection and by the node; lives until both let go.
    The node pushes from any thread; the connection's thread takes with Wait. The first end
    (Finish, FinishStream or Problem) counts; whatever is pushed after it is ignored. */
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
  explicit CallerSession(CallerRequest aRequest);

  /** Returns the request; never changes. */
  const CallerRequest& Request() const { return mRequest; }

  const RequestFacts& Facts() const { return mRequest.mFacts; }

  /** Sets the headers of the answer. They reach the caller with the first byte of the answer;
      until then a later call replaces them. After that a call that names another version ends
      the stream with an error, since an answer comes from one version. */
  void BeginAnswer(AnswerHead aHead);

  /** Passes on a chunk of an attempt. @see AnswerStream
      A caller that lets too many bytes wait is treated as gone.
      @returns whether the attempt is still wanted; false once the session has ended, the caller
      has left or the chunk contradicted the answer */
  bool Chunk(const AttemptId& aAttempt, const StreamChunk& aChunk);

  /** Ends the answer with a whole body. Ends with an error when a stream has begun. */
  void Finish(std::string aBody);

  /** Ends a stream after its last chunk. Ends it with an error when the attempt's answer does not
      cover what the caller has received. */
  void FinishStream(const AttemptId& aAttempt);

  /** Ends the session with an error. */
  void Problem(ProblemReply aProblem);

  /** Returns whether bytes of the answer were handed to the connection. */
  bool HasBegun() const;

  /** Returns whether the caller has gone; its attempts may be cancelled. */
  bool HasCallerLeft() const;

  /** Returns whether nothing more will be sent. */
  bool HasEnded() const;

  /** Returns the next message; nothing when none came within @p aTimeout.
      For the thread of the connection. */
  std::optional<SessionMessage> Wait(std::chrono::milliseconds aTimeout);

  /** Notes that the caller has gone. For the thread of the connection. */
  void MarkCallerLeft();

private:
  void Push(SessionMessage aMessage);
  void EndWithContradiction();
  void LeaveLocked();

  const CallerRequest mRequest;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<SessionMessage> mMailbox;
  std::size_t mMailboxBytes = 0; /**< Of events that wait for the connection. */
  AnswerHead mHead;
  AnswerStream mStream;
  bool mBegun = false;
  bool mEnded = false;
  bool mCallerLeft = false;
};

} // namespace skylarkchute
