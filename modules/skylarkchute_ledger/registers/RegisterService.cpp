#include "RegisterService.h"

#include "../events/LedgerEvents.h"

#include <algorithm>
#include <iterator>

namespace skylarkchute {

namespace {

template<typename Item>
void MoveTo(std::vector<Item>& aTarget, std::vector<Item>& aSource)
{
  std::move(aSource.begin(), aSource.end(), std::back_inserter(aTarget));
}

void MoveTo(RegisterServiceOutput& aTarget, RegisterServiceOutput aSource)
{
  MoveTo(aTarget.mCalls, aSource.mCalls);
  MoveTo(aTarget.mOutcomes, aSource.mOutcomes);
  MoveTo(aTarget.mForwards, aSource.mForwards);
  MoveTo(aTarget.mAnswers, aSource.mAnswers);
  MoveTo(aTarget.mEvents, aSource.mEvents);
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

bool RegisterService::IsShunned(const InstanceId& aId, TimePoint aNow) const
{
  return std::any_of(mShunned.begin(), mShunned.end(), [&](const Shunned& aShunned) {
    return aShunned.mId == aId && aNow < aShunned.mUntil;
  });
}

RegisterServiceOutput RegisterService::Submit(const RegisterRequest& aRequest, TimePoint aNow)
{
  const auto owner = OwnerOf(aRequest.mWrite.mKey);
  if (owner == mOptions.mSelf || IsShunned(owner, aNow)) {
    return StartLocal(aRequest, { aRequest.mTicket, false, false }, aNow);
  }
  const auto id = mNextForward++;
  mForwards.emplace(id, Forwarded{ aRequest, owner, aNow + 2 * mOptions.mForwardTimeout });
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
  return StartLocal(request, { aId, true, false }, aNow);
}

RegisterServiceOutput RegisterService::StartLocal(const RegisterRequest& aRequest,
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

RegisterServiceOutput RegisterService::FallBack(const Forwarded& aForwarded,
                                                bool aMaybeWritten,
                                                TimePoint aNow)
{
  mShunned.erase(std::remove_if(mShunned.begin(),
                                mShunned.end(),
                                [&](const Shunned& aShunned) {
                                  return aShunned.mUntil <= aNow || aShunned.mId == aForwarded.mTo;
                                }),
                 mShunned.end());
  mShunned.push_back({ aForwarded.mTo, aNow + mOptions.mShun });
  const bool maybe = aMaybeWritten && !aForwarded.mRequest.mReadOnly;
  auto output =
    StartLocal(aForwarded.mRequest, { aForwarded.mRequest.mTicket, false, maybe }, aNow);
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
    output.mOutcomes.push_back({ forwarded.mRequest.mTicket, reply->mResult, reply->mValue });
    return output;
  }
  const bool notWritten = reply && reply->mResult == RegisterResult::NotWritten;
  const bool notReached = !aResult && aVerdict == Verdict::NotRun;
  return FallBack(forwarded, !notWritten && !notReached, aNow);
}

RegisterServiceOutput RegisterService::OnReply(const ObjectReply& aReply, TimePoint aNow)
{
  return Convert(mRegisters.OnReply(aReply, aNow));
}

RegisterServiceOutput RegisterService::Tick(TimePoint aNow, WallTime aWallNow)
{
  auto output = Convert(mRegisters.Tick(aNow, aWallNow));
  std::vector<Forwarded> late;
  for (auto it = mForwards.begin(); it != mForwards.end();) {
    if (aNow < it->second.mGiveUpAt) {
      ++it;
      continue;
    }
    late.push_back(std::move(it->second));
    it = mForwards.erase(it);
  }
  for (const auto& it : late) {
    MoveTo(output, FallBack(it, true, aNow));
  }
  return output;
}

RegisterServiceOutput RegisterService::Convert(RegisterOutput aOutput)
{
  RegisterServiceOutput output;
  output.mCalls = std::move(aOutput.mCalls);
  output.mEvents = std::move(aOutput.mEvents);
  for (auto& it : aOutput.mOutcomes) {
    const auto job = mJobs.find(it.mTicket);
    if (job == mJobs.end()) {
      continue;
    }
    if (job->second.mMaybeForwarded && it.mResult == RegisterResult::NotWritten) {
      it.mResult = RegisterResult::Unresolved;
    }
    if (job->second.mServed) {
      output.mAnswers.push_back(
        { job->second.mTicket, EncodeRegisterForwardReply({ it.mResult, it.mValue }) });
    } else {
      output.mOutcomes.push_back({ job->second.mTicket, it.mResult, std::move(it.mValue) });
    }
    mJobs.erase(job);
  }
  return output;
}

} // namespace skylarkchute
