#include "ObjectPerRegister.h"

#include "../events/LedgerEvents.h"

#include <algorithm>
#include <cassert>

namespace skylarkchute {

namespace {

std::string ObjectKey(const std::string& aRegisterKey)
{
  return "registers/single/" + Sha256Hex(aRegisterKey);
}

} // namespace

ObjectPerRegister::ObjectPerRegister(RegisterOptions aOptions) : mOptions(aOptions) {}

RegisterOutput ObjectPerRegister::Write(std::uint64_t aOperationId,
                                        const RegisterWrite& aWrite,
                                        TimePoint aNow)
{
  assert(!aWrite.mKey.empty());
  Job job;
  job.mOperationId = aOperationId;
  job.mWrite = aWrite;
  return Start(std::move(job), aNow);
}

RegisterOutput ObjectPerRegister::Read(std::uint64_t aOperationId,
                                       const std::string& aKey,
                                       TimePoint aNow)
{
  Job job;
  job.mOperationId = aOperationId;
  job.mWrite.mKey = aKey;
  job.mReadOnly = true;
  return Start(std::move(job), aNow);
}

RegisterOutput ObjectPerRegister::Start(Job aJob, TimePoint aNow)
{
  RegisterOutput output;
  aJob.mDeadline = aNow + mOptions.mOperationTimeout;
  aJob.mBackoff = mOptions.mInitialBackoff;
  const bool read = aJob.mReadOnly;
  Send(std::move(aJob), read, output);
  return output;
}

ObjectCall ObjectPerRegister::MakeWrite(std::uint64_t aCallId, Job& aJob) const
{
  aJob.mStage = Stage::Writing;
  PutObject put{ ObjectKey(aJob.mWrite.mKey), EncodeRegister(aJob.mWrite), aJob.mExpiredVersion };
  return { aCallId, CallPurpose::Claim, std::move(put), mOptions.mCallTimeout };
}

ObjectCall ObjectPerRegister::MakeRead(std::uint64_t aCallId, Job& aJob) const
{
  aJob.mStage = Stage::Reading;
  GetObject get{ ObjectKey(aJob.mWrite.mKey) };
  return { aCallId, CallPurpose::Claim, std::move(get), mOptions.mCallTimeout };
}

void ObjectPerRegister::Send(Job aJob, bool aRead, RegisterOutput& aOutput)
{
  const auto id = mNextCall++;
  aOutput.mCalls.push_back(aRead ? MakeRead(id, aJob) : MakeWrite(id, aJob));
  mJobs.emplace(id, std::move(aJob));
}

RegisterOutput ObjectPerRegister::OnReply(const ObjectReply& aReply, TimePoint aNow)
{
  RegisterOutput output;
  const auto it = mJobs.find(aReply.mId);
  if (it == mJobs.end() || it->second.mStage == Stage::Waiting) {
    return output;
  }
  Job job = std::move(it->second);
  mJobs.erase(it);
  if (job.mStage == Stage::Reading) {
    OnRead(std::move(job), aReply, aNow, output);
  } else {
    OnWritten(std::move(job), aReply, aNow, output);
  }
  return output;
}

void ObjectPerRegister::OnWritten(Job aJob,
                                  const ObjectReply& aReply,
                                  TimePoint aNow,
                                  RegisterOutput& aOutput)
{
  switch (aReply.mStatus) {
    case ObjectStatus::Ok:
      aOutput.mOutcomes.push_back({ aJob.mOperationId, RegisterResult::Won, aJob.mWrite.mValue });
      return;
    case ObjectStatus::Unknown:
      aJob.mUncertain = true;
      aOutput.mEvents.push_back({ &kRegisterReadBack, { { "key", aJob.mWrite.mKey } } });
      Send(std::move(aJob), true, aOutput);
      return;
    case ObjectStatus::Conflict:
    case ObjectStatus::NotFound:
      Send(std::move(aJob), true, aOutput);
      return;
    case ObjectStatus::Unavailable:
      if (!aJob.mUncertain) {
        aOutput.mOutcomes.push_back({ aJob.mOperationId, RegisterResult::NotWritten, {} });
        aOutput.mEvents.push_back({ &kRegisterStoreDown, {} });
        return;
      }
      break;
    case ObjectStatus::Throttled:
      break;
  }
  ScheduleRetry(std::move(aJob), aReply, aNow);
}

void ObjectPerRegister::OnRead(Job aJob,
                               const ObjectReply& aReply,
                               TimePoint aNow,
                               RegisterOutput& aOutput)
{
  if (aReply.mStatus == ObjectStatus::NotFound) {
    if (aJob.mReadOnly) {
      aOutput.mOutcomes.push_back({ aJob.mOperationId, RegisterResult::Absent, {} });
      return;
    }
    aJob.mExpiredVersion.reset();
    Send(std::move(aJob), false, aOutput);
    return;
  }
  if (aReply.mStatus != ObjectStatus::Ok) {
    if (aReply.mStatus == ObjectStatus::Unavailable && !aJob.mUncertain) {
      aOutput.mOutcomes.push_back({ aJob.mOperationId, RegisterResult::NotWritten, {} });
      return;
    }
    ScheduleRetry(std::move(aJob), aReply, aNow);
    return;
  }
  const auto durable = DecodeRegister(aReply.mBody);
  if (!durable) {
    aOutput.mEvents.push_back({ &kRegisterCorrupt, { { "key", aJob.mWrite.mKey } } });
    aOutput.mOutcomes.push_back({ aJob.mOperationId, RegisterResult::Unresolved, {} });
    return;
  }
  const bool expired = durable->mExpires + mOptions.mExpiryMargin <= mWall.At(aNow);
  if (expired && aJob.mReadOnly) {
    aOutput.mOutcomes.push_back({ aJob.mOperationId, RegisterResult::Absent, {} });
    return;
  }
  if (expired) {
    aJob.mExpiredVersion = aReply.mVersion;
    Send(std::move(aJob), false, aOutput);
    return;
  }
  const bool ownValue = !aJob.mReadOnly && durable->mValue == aJob.mWrite.mValue;
  aOutput.mOutcomes.push_back(
    { aJob.mOperationId, ownValue ? RegisterResult::Won : RegisterResult::Lost, durable->mValue });
}

void ObjectPerRegister::ScheduleRetry(Job aJob, const ObjectReply& aReply, TimePoint aNow)
{
  aJob.mStage = Stage::Waiting;
  aJob.mRetryAt = aNow + std::max(aJob.mBackoff, aReply.mRetryAfter);
  aJob.mBackoff = std::min(aJob.mBackoff * 2, mOptions.mMaxBackoff);
  mJobs.emplace(mNextCall++, std::move(aJob));
}

RegisterOutput ObjectPerRegister::Tick(TimePoint aNow, WallTime aWallNow)
{
  mWall.Update(aNow, aWallNow);
  RegisterOutput output;
  std::vector<Job> due;
  for (auto it = mJobs.begin(); it != mJobs.end();) {
    const Job& job = it->second;
    if (aNow >= job.mDeadline) {
      const bool certainlyNotWritten =
        job.mReadOnly || (job.mStage == Stage::Waiting && !job.mUncertain);
      output.mOutcomes.push_back(
        { job.mOperationId,
          certainlyNotWritten ? RegisterResult::NotWritten : RegisterResult::Unresolved,
          {} });
      it = mJobs.erase(it);
    } else if (job.mStage == Stage::Waiting && aNow >= job.mRetryAt) {
      due.push_back(std::move(it->second));
      it = mJobs.erase(it);
    } else {
      ++it;
    }
  }
  for (auto& it : due) {
    const bool read = it.mReadOnly || it.mUncertain;
    Send(std::move(it), read, output);
  }
  return output;
}

} // namespace skylarkchute
