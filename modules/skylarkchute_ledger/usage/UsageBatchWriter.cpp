#include "UsageBatchWriter.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace skylarkchute {

void UsageBatchWriter::Add(UsageBatch aBatch)
{
  assert(!aBatch.mRecords.empty());
  mRecordCount += aBatch.mRecords.size();
  Job job;
  job.mBatch = std::move(aBatch);
  job.mBackoff = mOptions.mInitialBackoff;
  mJobs.push_back(std::move(job));
}

BatchWriterOutput UsageBatchWriter::Tick(TimePoint aNow)
{
  BatchWriterOutput output;
  StartDue(aNow, output);
  return output;
}

void UsageBatchWriter::StartDue(TimePoint aNow, BatchWriterOutput& aOutput)
{
  auto inFlight = static_cast<std::size_t>(std::count_if(
    mJobs.begin(), mJobs.end(), [](const Job& aJob) { return aJob.mStage != Stage::Waiting; }));
  for (auto& it : mJobs) {
    if (inFlight >= mOptions.mMaxInFlight) {
      return;
    }
    if (it.mStage == Stage::Waiting && aNow >= it.mRetryAt) {
      Start(it, aOutput);
      ++inFlight;
    }
  }
}

void UsageBatchWriter::Start(Job& aJob, BatchWriterOutput& aOutput)
{
  const auto key = UsageBatchKey(aJob.mBatch.mOwner, aJob.mBatch.mSequence);
  aJob.mCall = mNextCall++;
  ObjectCall call{ aJob.mCall, CallPurpose::Usage, GetObject{ key }, mOptions.mCallTimeout };
  aJob.mStage = Stage::Reading;
  if (!aJob.mReadNext) {
    aJob.mStage = Stage::Writing;
    call.mOperation = PutObject{ key, EncodeUsageBatch(aJob.mBatch), std::nullopt };
  }
  aOutput.mCalls.push_back(std::move(call));
}

BatchWriterOutput UsageBatchWriter::OnReply(const ObjectReply& aReply, TimePoint aNow)
{
  BatchWriterOutput output;
  const auto job = std::find_if(mJobs.begin(), mJobs.end(), [&](const Job& aJob) {
    return aJob.mStage != Stage::Waiting && aJob.mCall == aReply.mId;
  });
  if (job == mJobs.end()) {
    return output;
  }
  if (job->mStage == Stage::Reading) {
    OnRead(job, aReply, aNow, output);
  } else if (aReply.mStatus == ObjectStatus::Ok) {
    Finish(job, {}, output);
  } else if (aReply.mStatus == ObjectStatus::Conflict) {
    job->mReadNext = true;
    Start(*job, output);
  } else {
    Postpone(*job, aReply, aNow);
  }
  StartDue(aNow, output);
  return output;
}

void UsageBatchWriter::OnRead(std::vector<Job>::iterator aJob,
                              const ObjectReply& aReply,
                              TimePoint aNow,
                              BatchWriterOutput& aOutput)
{
  if (aReply.mStatus != ObjectStatus::Ok) {
    aJob->mReadNext = aReply.mStatus != ObjectStatus::NotFound;
    Postpone(*aJob, aReply, aNow);
    return;
  }
  std::set<RequestId> present;
  if (const auto durable = DecodeUsageBatch(aReply.mBody)) {
    for (const auto& it : durable->mRecords) {
      present.insert(it.mRequest);
    }
  }
  std::vector<UsageRecord> missing;
  for (const auto& it : aJob->mBatch.mRecords) {
    if (present.count(it.mRequest) == 0) {
      missing.push_back(it);
    }
  }
  Finish(aJob, std::move(missing), aOutput);
}

void UsageBatchWriter::Postpone(Job& aJob, const ObjectReply& aReply, TimePoint aNow) const
{
  aJob.mStage = Stage::Waiting;
  aJob.mRetryAt = aNow + std::max(aJob.mBackoff, aReply.mRetryAfter);
  aJob.mBackoff = std::min(aJob.mBackoff * 2, mOptions.mMaxBackoff);
}

void UsageBatchWriter::Finish(std::vector<Job>::iterator aJob,
                              std::vector<UsageRecord> aMissing,
                              BatchWriterOutput& aOutput)
{
  mRecordCount -= aJob->mBatch.mRecords.size();
  aOutput.mWritten.push_back({ std::move(aJob->mBatch), std::move(aMissing) });
  mJobs.erase(aJob);
}

} // namespace skylarkchute
