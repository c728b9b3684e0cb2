#pragma once

#include <skylarkchute_endpoints/skylarkchute_endpoints.h>
#include <skylarkchute_entry/skylarkchute_entry.h>
#include <skylarkchute_node/skylarkchute_node.h>

#include <map>
#include <memory>
#include <unordered_map>

namespace skylarkchute {

/** The sessions under way and the results of their attempts. The node's thread owns it. */
class AnswerBoard
{
public:
  /** Adds a session. */
  void Add(std::shared_ptr<CallerSession> aSession, TimePoint aNow);

  /** Returns when a session was added; @p aNow for an unknown one. */
  TimePoint ArrivedAt(const RequestId& aRequest, TimePoint aNow) const;

  /** Returns the session of a request, or null. */
  std::shared_ptr<CallerSession> Find(const RequestId& aRequest) const;

  /** Notes the headers that the answer of an attempt would have. */
  void NoteDispatch(const DispatchAction& aAction);

  /** Keeps the result of an attempt until its request ends. */
  void NoteResult(const RequestId& aRequest, const AttemptResult& aResult);

  /** Returns the result of an attempt, or null. */
  const AttemptResult* Result(const RequestId& aRequest, const AttemptId& aAttempt) const;

  /** Ends the session with the answer of an attempt. */
  void Finish(const FinishAction& aAction);

  /** Ends the session with an error. */
  void Refuse(const RefuseAction& aAction);

  /** Ends the session with the stored outcome of an earlier run. */
  void Replay(const ReplayAction& aAction);

  /** Returns the headers for the answer of an attempt. */
  AnswerHead HeadOf(const RequestId& aRequest, const AttemptId& aAttempt) const;

private:
  struct Attempt
  {
    AnswerHead mHead;
    std::optional<AttemptResult> mResult;
  };

  struct Entry
  {
    std::shared_ptr<CallerSession> mSession;
    TimePoint mArrived;
    std::map<AttemptId, Attempt> mAttempts;
  };

  std::unordered_map<RequestId, Entry> mEntries;
};

} // namespace skylarkchute
