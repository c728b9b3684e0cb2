#include "RollDriver.h"

#include "../lifecycle/ObjectKeys.h"

#include <algorithm>

namespace skylarkchute {

namespace {

WatchOptions WatchOptionsOf(const RollDriverOptions& aOptions)
{
  WatchOptions options;
  options.mPrefix = kRollPrefix;
  options.mPurpose = CallPurpose::Roll;
  options.mSeed = aOptions.mSeed;
  options.mWait = aOptions.mMaxWatchWait;
  options.mMinRetryDelay = aOptions.mMinRetryDelay;
  options.mMaxRetryDelay = aOptions.mMaxRetryDelay;
  options.mCallTimeout = aOptions.mCallTimeout;
  return options;
}

bool AreEqual(const std::vector<RollShare>& aLeft, const std::vector<RollShare>& aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](const RollShare& aOne, const RollShare& aOther) {
                      return aOne.mRoll == aOther.mRoll && aOne.mPercent == aOther.mPercent &&
                             aOne.mWithdrawn == aOther.mWithdrawn;
                    });
}

} // namespace

RollDriver::RollDriver(const RollDriverOptions& aOptions)
  : mOptions(aOptions)
  , mWatch(WatchOptionsOf(aOptions))
{
}

TrackedRoll* RollDriver::Find(const RollName& aRoll)
{
  const auto it = std::find_if(mRolls.begin(), mRolls.end(), [&](const auto& aTracked) {
    return aTracked->Plan().mName == aRoll;
  });
  return it == mRolls.end() ? nullptr : it->get();
}

RollDriverOutput RollDriver::ApplyBundle(const Bundle& aBundle,
                                         const BundleHead& aHead,
                                         TimePoint aNow,
                                         WallTime aWallNow)
{
  mGeneration = aHead.mGeneration;
  std::vector<std::unique_ptr<TrackedRoll>> rolls;
  bool isNew = false;
  for (const auto& it : aBundle.mRolls) {
    const auto since = aHead.UnchangedSince(it.mName);
    const auto old = std::find_if(mRolls.begin(), mRolls.end(), [&](const auto& aTracked) {
      return aTracked && aTracked->Plan().mName == it.mName && aTracked->Since() == since;
    });
    if (old != mRolls.end()) {
      rolls.push_back(std::move(*old));
      continue;
    }
    rolls.push_back(std::make_unique<TrackedRoll>(mOptions, it, since));
    isNew = true;
  }
  mRolls = std::move(rolls);
  RankRolls();
  if (isNew) {
    // Listing finds roll objects that were written before this instance tracked the roll.
    mWatch.Restart(aNow);
  }
  return FinishOutput({}, aNow, aWallNow);
}

void RollDriver::ApplyMembers(const std::vector<InstanceId>& aMembers)
{
  mMembers = aMembers;
  RankRolls();
}

void RollDriver::AddEvidence(const std::vector<VersionEvidence>& aEvidence)
{
  for (auto& roll : mRolls) {
    for (const auto& it : aEvidence) {
      roll->AddEvidence(it);
    }
  }
}

RollDriverOutput RollDriver::ApplyVerdict(const RollName& aRoll,
                                          const VersionVerdict& aVerdict,
                                          TimePoint aNow,
                                          WallTime aWallNow)
{
  auto* roll = Find(aRoll);
  if (roll) {
    roll->ApplyVerdict(aVerdict, aNow);
  }
  return FinishOutput({}, aNow, aWallNow);
}

void RollDriver::SetNextStageReady(const RollName& aRoll, bool aNextStageReady)
{
  auto* roll = Find(aRoll);
  if (roll) {
    roll->SetNextStageReady(aNextStageReady);
  }
}

RollDriverOutput RollDriver::ApplyPeerRecord(const RollRecord& aRecord,
                                             TimePoint aNow,
                                             WallTime aWallNow)
{
  RollDriverOutput output;
  auto* roll = Find(aRecord.mName);
  if (roll) {
    roll->ApplyPeerRecord(aRecord, output);
  }
  return FinishOutput(std::move(output), aNow, aWallNow);
}

RollDriverOutput RollDriver::OnReply(const ObjectReply& aReply, TimePoint aNow, WallTime aWallNow)
{
  RollDriverOutput output;
  const auto update = mWatch.OnReply(aReply, aNow);
  if (update) {
    OnWatchResult(*update, aNow, output);
    return FinishOutput(std::move(output), aNow, aWallNow);
  }
  for (auto& it : mRolls) {
    if (it->OnReply(aReply, aNow, output)) {
      break;
    }
  }
  return FinishOutput(std::move(output), aNow, aWallNow);
}

void RollDriver::OnWatchResult(const PrefixUpdate& aUpdate,
                               TimePoint aNow,
                               RollDriverOutput& aOutput)
{
  if (aUpdate.mFailed) {
    return;
  }
  for (auto& roll : mRolls) {
    const auto it =
      std::find_if(aUpdate.mEntries.begin(),
                   aUpdate.mEntries.end(),
                   [&](const ObjectEntry& aEntry) { return aEntry.mKey == roll->Key(); });
    if (it != aUpdate.mEntries.end()) {
      roll->ApplyStored(*it, aNow, aOutput);
    } else if (aUpdate.mComplete) {
      roll->ApplyStored(std::nullopt, aNow, aOutput);
    }
  }
}

RollDriverOutput RollDriver::Tick(TimePoint aNow, WallTime aWallNow)
{
  return FinishOutput({}, aNow, aWallNow);
}

RollDriverOutput RollDriver::FinishOutput(RollDriverOutput aOutput,
                                          TimePoint aNow,
                                          WallTime aWallNow)
{
  if (!mRolls.empty()) {
    auto call = mWatch.Poll(mNextId, aNow);
    if (call) {
      ++mNextId;
      aOutput.mCalls.push_back(std::move(*call));
    }
  }
  for (auto& it : mRolls) {
    it->Poll(mGeneration, aNow, aWallNow, mNextId, aOutput);
  }
  auto shares = Shares();
  if (!AreEqual(shares, mReportedShares)) {
    mReportedShares = shares;
    aOutput.mSharesChanged = true;
    aOutput.mShares = std::move(shares);
  }
  return aOutput;
}

void RollDriver::RankRolls()
{
  for (auto& roll : mRolls) {
    const auto order = RendezvousOrder(roll->Key(), mMembers, TrackedRoll::kRankedDrivers);
    const auto it = std::find(order.begin(), order.end(), mOptions.mSelf);
    roll->SetRank(static_cast<std::size_t>(it - order.begin()));
  }
}

std::vector<RollRecord> RollDriver::Records() const
{
  std::vector<RollRecord> records;
  for (const auto& it : mRolls) {
    if (it->Record()) {
      records.push_back(*it->Record());
    }
  }
  return records;
}

std::vector<RollShare> RollDriver::Shares() const
{
  std::vector<RollShare> shares;
  shares.reserve(mRolls.size());
  for (const auto& it : mRolls) {
    shares.push_back(it->Share());
  }
  return shares;
}

} // namespace skylarkchute
