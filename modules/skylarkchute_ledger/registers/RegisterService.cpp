#include "RegisterService.h"

#include "../events/LedgerEvents.h"

#include <algorithm>
#include <iterator>

namespace skylarkchute {

namespace {

template<typename Item>
void AppendMoved(std::vector<Item>& aTarget, std::vector<Item>& aSource)
{
  std::move(aSource.begin(), aSource.end(), std::back_inserter(aTarget));
}

void AppendMoved(RegisterServiceOutput& aTarget, RegisterServiceOutput aSource)
{
  AppendMoved(aTarget.mCalls, aSource.mCalls);
  AppendMoved(aTarget.mOutcomes, aSource.mOutcomes);
  AppendMoved(aTarget.mForwards, aSource.mForwards);
  AppendMoved(aTarget.mAnswers, aSource.mAnswers);
  AppendMoved(aTarget.mEvents, aSource.mEvents);
}

bool IsSettled(RegisterResult aResult)
{
  return aResult == RegisterResult::Won || aResult == RegisterResult::Lost ||
         aResult == RegisterResult::Absent;
}

} // namespace

RegisterService::RegisterService(Options aOptions, WriteOnceRegisters aRegisters)
  : mOptions(std::move(aOptions))
  , mRegisters(std::move(aRegisters))
{
}

InstanceId RegisterService::OwnerOf(const std::string& aKey) const
{
  const auto shard = "registers/" + std::to_string(ShardOf(aKey, mOptions.mShards));
  const auto order = RendezvousOrder(shard, mMembers, 1);
  return order.empty() ? mOptions.mSelf : order.front();
}

bool RegisterService::IsUnresponsive(const InstanceId& aId, TimePoint aNow) const
{
  return std::any_of(
    mUnresponsiveOwners.begin(), mUnresponsiveOwners.end(), [&](const UnresponsiveOwner& aOwner) {
      return aOwner.mId == aId && aNow < aOwner.mUntil;
    });
}

RegisterServiceOutput RegisterService::Submit(const RegisterRequest& aRequest, TimePoint aNow)
{
  const auto owner = OwnerOf(aRequest.mWrite.mKey);
  if (owner == mOptions.mSelf || IsUnresponsive(owner, aNow)) {
    return StartLocalJob(aRequest, { aRequest.mOperationId, false, false }, aNow);
  }
  const auto id = mNextForward++;
  mForwards.emplace(id, ForwardedRequest{ aRequest, owner, aNow + 2 * mOptions.mForwardTimeout });
  RegisterServiceOutput output;
  output.mForwards.push_back({ id,
                               owner,
                               EncodeRegisterForward({ aRequest.mReadOnly, aRequest.mWrite }),
                               mOptions.mForwardTimeout });
  return output;
}

RegisterServiceOutput RegisterService::Serve(std::uint64_t aId,
                                             const std::string& aParams,
                                             TimePoint aNow)
{
  const auto message = DecodeRegisterForward(aParams);
  if (!message) {
    RegisterServiceOutput output;
    output.mAnswers.push_back(
      { aId, EncodeRegisterForwardReply({ RegisterResult::NotWritten, {} }) });
    return output;
  }
  const RegisterRequest request{ aId, message->mReadOnly, message->mWrite };
  return StartLocalJob(request, { aId, true, false }, aNow);
}

RegisterServiceOutput RegisterService::StartLocalJob(const RegisterRequest& aRequest,
                                                     LocalJob aJob,
                                                     TimePoint aNow)
{
  const auto id = mNextJob++;
  mJobs.emplace(id, aJob);
  if (aRequest.mReadOnly) {
    return Convert(mRegisters.Read(id, aRequest.mWrite.mKey, aNow));
  }
  return Convert(mRegisters.Write(id, aRequest.mWrite, aNow));
}

RegisterServiceOutput RegisterService::FallBackToLocal(const ForwardedRequest& aForwarded,
                                                       bool aMaybeWritten,
                                                       TimePoint aNow)
{
  mUnresponsiveOwners.erase(std::remove_if(mUnresponsiveOwners.begin(),
                                           mUnresponsiveOwners.end(),
                                           [&](const UnresponsiveOwner& aOwner) {
                                             return aOwner.mUntil <= aNow ||
                                                    aOwner.mId == aForwarded.mTo;
                                           }),
                            mUnresponsiveOwners.end());
  mUnresponsiveOwners.push_back({ aForwarded.mTo, aNow + mOptions.mUnresponsivePeriod });
  const bool maybeWritten = aMaybeWritten && !aForwarded.mRequest.mReadOnly;
  auto output = StartLocalJob(
    aForwarded.mRequest, { aForwarded.mRequest.mOperationId, false, maybeWritten }, aNow);
  output.mEvents.push_back({ &kRegisterForwardFailed, { { "owner", aForwarded.mTo.Value() } } });
  return output;
}

RegisterServiceOutput RegisterService::OnForwardReply(std::uint64_t aId,
                                                      Verdict aVerdict,
                                                      const std::optional<std::string>& aResult,
                                                      TimePoint aNow)
{
  RegisterServiceOutput output;
  const auto it = mForwards.find(aId);
  if (it == mForwards.end()) {
    return output;
  }
  const auto forwarded = std::move(it->second);
  mForwards.erase(it);
  const auto reply = aResult ? DecodeRegisterForwardReply(*aResult) : std::nullopt;
  if (reply && IsSettled(reply->mResult)) {
    output.mOutcomes.push_back({ forwarded.mRequest.mOperationId, reply->mResult, reply->mValue });
    return output;
  }
  const bool notWritten = reply && reply->mResult == RegisterResult::NotWritten;
  const bool notReached = !aResult && aVerdict == Verdict::NotRun;
  return FallBackToLocal(forwarded, !notWritten && !notReached, aNow);
}

RegisterServiceOutput RegisterService::OnReply(const ObjectReply& aReply, TimePoint aNow)
{
  return Convert(mRegisters.OnReply(aReply, aNow));
}

RegisterServiceOutput RegisterService::Tick(TimePoint aNow, WallTime aWallNow)
{
  auto output = Convert(mRegisters.Tick(aNow, aWallNow));
  std::vector<ForwardedRequest> timedOut;
  for (auto it = mForwards.begin(); it != mForwards.end();) {
    if (aNow < it->second.mDeadline) {
      ++it;
      continue;
    }
    timedOut.push_back(std::move(it->second));
    it = mForwards.erase(it);
  }
  for (const auto& it : timedOut) {
    AppendMoved(output, FallBackToLocal(it, true, aNow));
  }
  return output;
}

RegisterServiceOutput RegisterService::Convert(RegisterOutput aOutput)
{
  RegisterServiceOutput output;
  output.mCalls = std::move(aOutput.mCalls);
  output.mEvents = std::move(aOutput.mEvents);
  for (auto& it : aOutput.mOutcomes) {
    const auto job = mJobs.find(it.mOperationId);
    if (job == mJobs.end()) {
      continue;
    }
    if (job->second.mMaybeWrittenByPeer && it.mResult == RegisterResult::NotWritten) {
      it.mResult = RegisterResult::Unresolved;
    }
    if (job->second.mForPeer) {
      output.mAnswers.push_back(
        { job->second.mOperationId, EncodeRegisterForwardReply({ it.mResult, it.mValue }) });
    } else {
      output.mOutcomes.push_back({ job->second.mOperationId, it.mResult, std::move(it.mValue) });
    }
    mJobs.erase(job);
  }
  return output;
}

} // namespace skylarkchute
