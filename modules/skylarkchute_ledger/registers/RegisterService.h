#pragma once

#include "RegisterForward.h"
#include "WriteOnceRegisters.h"

namespace skylarkchute {

/** A RegisterForward to be sent as peer call `register.write`. */
struct RegisterForwardCall
{
  std::uint64_t mId = 0; /**< Not sent; passed to OnForwardReply with the reply. */
  InstanceId mTo;
  std::string mParams; /**< JSON object text. */
  std::chrono::milliseconds mTimeout{ 0 };
};

/** The answer to a peer's RegisterForward. */
struct RegisterForwardAnswer
{
  std::uint64_t mId = 0; /**< As given to Serve. */
  std::string mResult;   /**< JSON object text. */
};

/** Actions that the caller of RegisterService must carry out. */
struct RegisterServiceOutput
{
  std::vector<ObjectCall> mCalls;
  std::vector<RegisterOutcome> mOutcomes;
  std::vector<RegisterForwardCall> mForwards;
  std::vector<RegisterForwardAnswer> mAnswers;
  std::vector<LogEvent> mEvents;
};

/** Forwards register writes and reads to the register's preferred owner, or carries them out
    locally when the owner does not answer.

    Ownership only collects the writes of a shard on one instance, for larger group commits;
    correctness does not depend on it. Every write is conditional, so two owners at a time or a
    paused owner cause update conflicts but no other harm. */
class RegisterService
{
public:
  struct Options
  {
    InstanceId mSelf;
    std::uint32_t mShards = RegisterOptions().mShards;
    std::chrono::milliseconds mForwardTimeout{ 250 };
    /** Registers are handled locally for this time after their owner did not answer or did not
        settle a request. */
    std::chrono::milliseconds mUnresponsivePeriod{ 2000 };
  };

  RegisterService(Options aOptions, WriteOnceRegisters aRegisters);

  /** Sets the live instances, including this one. */
  void SetMembers(std::vector<InstanceId> aMembers) { mMembers = std::move(aMembers); }

  /** Returns the preferred owner of a register, by rendezvous hashing of its shard; this instance
      when there are no members. */
  InstanceId OwnerOf(const std::string& aKey) const;

  /** Starts a write or read. The outcome, in this or a later output, has the operation id of
      @p aRequest. */
  RegisterServiceOutput Submit(const RegisterRequest& aRequest, TimePoint aNow);

  /** Starts a write or read for a peer. The answer, in this or a later output, has @p aId.
      @param aParams  JSON object text of a RegisterForward; if invalid, the answer is NotWritten */
  RegisterServiceOutput Serve(std::uint64_t aId, const std::string& aParams, TimePoint aNow);

  /** Handles the reply to a forwarded request.
      @param aVerdict  NotRun when the peer was certainly not reached
      @param aResult   JSON object text, or nothing when the call failed */
  RegisterServiceOutput OnForwardReply(std::uint64_t aId,
                                       Verdict aVerdict,
                                       const std::optional<std::string>& aResult,
                                       TimePoint aNow);

  /** Handles the reply to an object call. */
  RegisterServiceOutput OnReply(const ObjectReply& aReply, TimePoint aNow);

  /** Runs due retries and ends requests that have timed out. */
  RegisterServiceOutput Tick(TimePoint aNow, WallTime aWallNow);

private:
  struct LocalJob
  {
    std::uint64_t mOperationId = 0;
    bool mForPeer = false;            /**< Started by Serve, for a peer. */
    bool mMaybeWrittenByPeer = false; /**< A peer may be writing the same value. */
  };

  struct ForwardedRequest
  {
    RegisterRequest mRequest;
    InstanceId mTo;
    TimePoint mDeadline;
  };

  struct UnresponsiveOwner
  {
    InstanceId mId;
    TimePoint mUntil;
  };

  RegisterServiceOutput Convert(RegisterOutput aOutput);
  RegisterServiceOutput StartLocalJob(const RegisterRequest& aRequest,
                                      LocalJob aJob,
                                      TimePoint aNow);
  RegisterServiceOutput FallBackToLocal(const ForwardedRequest& aForwarded,
                                        bool aMaybeWritten,
                                        TimePoint aNow);
  bool IsUnresponsive(const InstanceId& aId, TimePoint aNow) const;

  Options mOptions;
  WriteOnceRegisters mRegisters;
  std::vector<InstanceId> mMembers;
  std::uint64_t mNextJob = 1;
  std::uint64_t mNextForward = 1;
  std::map<std::uint64_t, LocalJob> mJobs;
  std::map<std::uint64_t, ForwardedRequest> mForwards;
  std::vector<UnresponsiveOwner> mUnresponsiveOwners;
};

} // namespace skylarkchute
