#pragma once

#include <skylarkchute_endpoints/skylarkchute_endpoints.h>
#include <skylarkchute_entry/skylarkchute_entry.h>
#include <skylarkchute_node/skylarkchute_node.h>

#include <map>
#include <memory>
#include <unordered_map>

namespace skylarkchute {

/** Stores the active caller sessions and the results of their attempts.

    Not thread-safe: used on the thread of the NodeLoop only. */
class SessionTable
{
public:
  /** Adds a session.
      @param aNow  arrival time of the request */
  void Add(std::shared_ptr<CallerSession> aSession, TimePoint aNow);

  /** Returns the arrival time of a request, or @p aNow if the request is unknown. */
  TimePoint ArrivedAt(const RequestId& aRequest, TimePoint aNow) const;

  /** Returns the session of a request, or null. */
  std::shared_ptr<CallerSession> Find(const RequestId& aRequest) const;

  /** Stores the answer headers to send if this attempt provides the answer. */
  void RecordDispatch(const DispatchAction& aAction);

  /** Stores the result of an attempt until its request ends. */
  void RecordResult(const RequestId& aRequest, const AttemptResult& aResult);

  /** Returns the result of an attempt, or null. */
  const AttemptResult* Result(const RequestId& aRequest, const AttemptId& aAttempt) const;

  /** Ends the session with the answer of an attempt and removes it. */
  void Finish(const FinishAction& aAction);

  /** Ends the session with an error and removes it. */
  void Refuse(const RefuseAction& aAction);

  /** Ends the session with the stored answer of an earlier run and removes it. */
  void Replay(const ReplayAction& aAction);

  /** Returns the answer headers stored for an attempt; default values if it is unknown. */
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
