#pragma once

#include "RegisterCodec.h"
#include "RegisterOutput.h"
#include "WallClockEstimate.h"

#include <map>

namespace skylarkchute {

/** Write-once registers as one platform object each, created if absent. */
class ObjectPerRegister
{
public:
  explicit ObjectPerRegister(RegisterOptions aOptions);

  /** Starts a write; its outcome follows under @p aTicket. */
  RegisterOutput Write(std::uint64_t aTicket, const RegisterWrite& aWrite, TimePoint aNow);

  /** Starts a read; its outcome follows under @p aTicket. */
  RegisterOutput Read(std::uint64_t aTicket, const std::string& aKey, TimePoint aNow);

  /** Takes in the outcome of one of the calls. */
  RegisterOutput OnReply(const ObjectReply& aReply, TimePoint aNow);

  /** Drives retries and time limits. */
  RegisterOutput Tick(TimePoint aNow, WallTime aWallNow);

private:
  enum class Stage
  {
    Waiting, /**< For the next retry. */
    Writing,
    Reading,
  };

  struct Job
  {
    std::uint64_t mTicket = 0;
    RegisterWrite mWrite;
    bool mReadOnly = false;
    bool mUncertain = false; /**< A write without a known outcome was sent. */
    Stage mStage = Stage::Waiting;
    TimePoint mGiveUpAt;
    TimePoint mRetryAt;
    std::chrono::milliseconds mBackoff{ 0 };
    std::optional<ObjectVersion> mExpiredVersion; /**< Set to replace an expired register. */
  };

  using JobMap = std::map<std::uint64_t, Job>;

  RegisterOutput Start(Job aJob, TimePoint aNow);
  ObjectCall MakeWrite(std::uint64_t aCallId, Job& aJob) const;
  ObjectCall MakeRead(std::uint64_t aCallId, Job& aJob) const;
  void Send(Job aJob, bool aRead, RegisterOutput& aOutput);
  void OnRead(Job aJob, const ObjectReply& aReply, TimePoint aNow, RegisterOutput& aOutput);
  void OnWritten(Job aJob, const ObjectReply& aReply, TimePoint aNow, RegisterOutput& aOutput);
  void Postpone(Job aJob, const ObjectReply& aReply, TimePoint aNow);

  RegisterOptions mOptions;
  WallClockEstimate mWall;
  std::uint64_t mNextCall = 1;
  JobMap mJobs; /**< By call id. */
};

} // namespace skylarkchute
