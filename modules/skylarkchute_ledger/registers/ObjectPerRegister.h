#pragma once

#include "RegisterCodec.h"
#include "RegisterOutput.h"
#include "WallClockEstimate.h"

#include <map>

namespace skylarkchute {

/** Stores each write-once register as a platform object of its own, created if absent. */
class ObjectPerRegister
{
public:
  explicit ObjectPerRegister(RegisterOptions aOptions);

  /** Starts a write. The outcome, in this or a later output, has @p aOperationId. */
  RegisterOutput Write(std::uint64_t aOperationId, const RegisterWrite& aWrite, TimePoint aNow);

  /** Starts a read. The outcome, in this or a later output, has @p aOperationId. */
  RegisterOutput Read(std::uint64_t aOperationId, const std::string& aKey, TimePoint aNow);

  /** Handles the reply to one of the calls. */
  RegisterOutput OnReply(const ObjectReply& aReply, TimePoint aNow);

  /** Runs due retries and ends operations that have timed out. */
  RegisterOutput Tick(TimePoint aNow, WallTime aWallNow);

private:
  enum class Stage
  {
    Waiting, /**< Until mRetryAt. */
    Writing,
    Reading,
  };

  struct Job
  {
    std::uint64_t mOperationId = 0;
    RegisterWrite mWrite;
    bool mReadOnly = false;
    bool mUncertain = false; /**< The outcome of an earlier write call is unknown. */
    Stage mStage = Stage::Waiting;
    TimePoint mDeadline;
    TimePoint mRetryAt;
    std::chrono::milliseconds mBackoff{ 0 };
    /** Version of the expired register object to replace, if any. */
    std::optional<ObjectVersion> mExpiredVersion;
  };

  using JobMap = std::map<std::uint64_t, Job>;

  RegisterOutput Start(Job aJob, TimePoint aNow);
  ObjectCall MakeWrite(std::uint64_t aCallId, Job& aJob) const;
  ObjectCall MakeRead(std::uint64_t aCallId, Job& aJob) const;
  void Send(Job aJob, bool aRead, RegisterOutput& aOutput);
  void OnRead(Job aJob, const ObjectReply& aReply, TimePoint aNow, RegisterOutput& aOutput);
  void OnWritten(Job aJob, const ObjectReply& aReply, TimePoint aNow, RegisterOutput& aOutput);
  void ScheduleRetry(Job aJob, const ObjectReply& aReply, TimePoint aNow);

  RegisterOptions mOptions;
  WallClockEstimate mWall;
  std::uint64_t mNextCall = 1;
  JobMap mJobs; /**< By call id. */
};

} // namespace skylarkchute
