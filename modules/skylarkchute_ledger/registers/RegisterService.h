#pragma once

#include "RegisterForward.h"
#include "WriteOnceRegisters.h"

namespace skylarkchute {

/** A RegisterForward to be sent as peer call `register.write`. */
struct RegisterForwardCall
{
  std::uint64_t mId = 0; /**< Local to the service; the reply carries it. */
  InstanceId mTo;
  std::string mParams; /**< JSON object text. */
  std::chrono::milliseconds mTimeout{ 0 };
};

/** The answer to a RegisterForward of a peer. */
struct RegisterForwardAnswer
{
  std::uint64_t mId = 0; /**< As given to Serve. */
  std::string mResult;   /**< JSON object text. */
};

/** What the service wants done after an event. */
struct RegisterServiceOutput
{
  std::vector<ObjectCall> mCalls;
  std::vector<RegisterOutcome> mOutcomes;
  std::vector<RegisterForwardCall> mForwards;
  std::vector<RegisterForwardAnswer> mAnswers;
  std::vector<LogEvent> mEvents;
};

/** Routes register writes to their soft owner, or writes them here when the owner does not answer.

    The owner only gathers writes for group commit. Every write is conditional, so that two owners
    or a paused one cost conflicts and nothing else. */
class RegisterService
{
public:
  struct Options
  {
    InstanceId mSelf;
    std::uint32_t mShards = RegisterOptions().mShards;
    std::chrono::milliseconds mForwardTimeout{ 250 };
    /** An owner that did not answer is not asked again for this time. */
    std::chrono::milliseconds mShun{ 2000 };
  };

  RegisterService(Options aOptions, WriteOnceRegisters aRegisters);

  /** Takes in the live instances, this one among them. */
  void SetMembers(std::vector<InstanceId> aMembers) { mMembers = std::move(aMembers); }

  /** Returns the soft owner of a register. */
  InstanceId OwnerOf(const std::string& aKey) const;

  /** Starts a write or read; its outcome follows under the ticket of @p aRequest. */
  RegisterServiceOutput Submit(const RegisterRequest& aRequest, TimePoint aNow);

  /** Starts a write or read for a peer; the answer follows under @p aId.
      @param aParams  JSON object text of a RegisterForward */
  RegisterServiceOutput Serve(std::uint64_t aId, const std::string& aParams, TimePoint aNow);

  /** Takes in the reply to a forward.
      @param aVerdict  NotRun when the peer was certainly not reached
      @param aResult   JSON object text, or nothing when the call failed */
  RegisterServiceOutput OnForwardReply(std::uint64_t aId,
                                       Verdict aVerdict,
                                       const std::optional<std::string>& aResult,
                                       TimePoint aNow);

  /** Takes in the outcome of an object call. */
  RegisterServiceOutput OnReply(const ObjectReply& aReply, TimePoint aNow);

  /** Drives retries and time limits. */
  RegisterServiceOutput Tick(TimePoint aNow, WallTime aWallNow);

private:
  struct LocalJob
  {
    std::uint64_t mTicket = 0;
    bool mServed = false;         /**< For a peer. */
    bool mMaybeForwarded = false; /**< A peer may be writing the same value. */
  };

  struct Forwarded
  {
    RegisterRequest mRequest;
    InstanceId mTo;
    TimePoint mGiveUpAt;
  };

  struct Shunned
  {
    InstanceId mId;
    TimePoint mUntil;
  };

  RegisterServiceOutput Convert(RegisterOutput aOutput);
  RegisterServiceOutput StartLocal(const RegisterRequest& aRequest, LocalJob aJob, TimePoint aNow);
  RegisterServiceOutput FallBack(const Forwarded& aForwarded, bool aMaybeWritten, TimePoint aNow);
  bool IsShunned(const InstanceId& aId, TimePoint aNow) const;

  Options mOptions;
  WriteOnceRegisters mRegisters;
  std::vector<InstanceId> mMembers;
  std::uint64_t mNextJob = 1;
  std::uint64_t mNextForward = 1;
  std::map<std::uint64_t, LocalJob> mJobs;
  std::map<std::uint64_t, Forwarded> mForwards;
  std::vector<Shunned> mShunned;
};

} // namespace skylarkchute
